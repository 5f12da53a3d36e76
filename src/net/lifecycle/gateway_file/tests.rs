use super::*;
use rstest::rstest;

#[rstest]
#[case("n3", "sagearch-n3.json")]
#[case("../n 3", "sagearch-___n_3.json")]
fn gateway_name_with_special_characters_yields_a_path_in_the_folder(#[case] name: &str, #[case] file: &str) {
    assert_eq!(gateway_file_path(Path::new("/t"), name, "json"), Path::new("/t").join(file));
}
