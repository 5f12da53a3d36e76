//! Scenarios of the scale run: what is read, and what is refused.

use super::*;
use rstest::rstest;

fn parse(text: &str) -> Result<Scenario, Faults> {
    read("s.kdl", &OneFile { name: "s.kdl", text })
}

#[test]
fn a_scenario_is_read_with_its_defaults() {
    let read = parse("size 100 real=6\nfault \"cut\" for=\"20s\"\n").unwrap();
    assert_eq!((read.fleet.sites, read.fleet.stores, read.changes.purges_per_second), (94, 270, 51.0));
    assert_eq!(read.need.within, Duration::from_millis(1_900));
    assert_eq!(read.relays, None);
    assert_eq!(read.faults[0].settle, Duration::from_secs(4));
    assert_eq!(read.faults_at(&read.sizes[0]).len(), 1);
}

#[test]
fn a_relay_fails_only_where_there_are_some() {
    let text = "size 100\nfault \"relay\" for=\"2s\"\n";
    let without = parse(text).unwrap();
    assert_eq!(without.faults_at(&without.sizes[0]), []);
    let with = parse(&format!("feed relays=3\n{text}")).unwrap();
    assert_eq!(with.relays, Some(3));
    assert_eq!(with.faults_at(&with.sizes[0]).len(), 1);
}

#[rstest]
#[case::no_size("fleet\n", "no size")]
#[case::all_real("size 12 real=12\n", "some must be hollow")]
#[case::too_many("size 100000\n", "4096")]
#[case::no_such_fault("size 100\nfault \"flood\" for=\"1s\"\n", "\"flood\" is not restart")]
#[case::no_length("size 100\nfault \"cut\"\n", "lacks \"for\"")]
fn what_can_t_be_played_is_told(#[case] text: &str, #[case] cause: &str) {
    let told = parse(text).unwrap_err().to_string();
    assert!(told.contains(cause), "{told}");
}
