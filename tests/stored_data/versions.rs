//! Stored versions of a gateway, and the stored state of the control service.

use super::stand::Folder as TemporaryFolder;
use super::{fixture, read_fixture};
use sagearch_folder::Folder;
use sagearch_operators::{Anywhere, compile, compiled};
use sagearch_stream::Version;
use sagearch_stream::rollout::Plan;
use sagearch_stream::service::State;
use sagearch_stream::store::{decode, encode, load_versions, store_version};
use serde_json::Value;
use std::path::Path;

const TEXT_DOCUMENT: &str = "operators.kdl";
const COMPILED_DOCUMENT: &str = "operators.json";
/// A text that does not parse as an operator file.
const INVALID_TEXT: &str = "}";

fn recorded_versions() -> Vec<Version> {
    let stored = load_versions(&Folder::new(fixture("versions")));
    assert_eq!(stored.unusable, []);
    stored.versions
}

/// The names and contents of the version files in a folder, sorted.
fn version_files(folder: &Path) -> Vec<(String, Vec<u8>)> {
    let entries = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let versions = entries.filter(|path| path.extension().is_some_and(|extension| extension == "version"));
    let mut files: Vec<(String, Vec<u8>)> = versions
        .map(|path| (path.file_name().unwrap().to_string_lossy().into_owned(), std::fs::read(&path).unwrap()))
        .collect();
    files.sort();
    files
}

#[test]
fn recorded_versions_are_rewritten_as_the_same_bytes() {
    let versions = recorded_versions();
    assert_eq!(versions.iter().map(|version| version.id.sequence()).collect::<Vec<_>>(), [(1, 3), (1, 2)]);
    assert_eq!(versions[1].documents[TEXT_DOCUMENT], "limits lookups=7\n");
    let temporary = TemporaryFolder::default();
    versions.iter().for_each(|version| store_version(&Folder::new(&temporary.0), version, 10, 1).unwrap());
    assert_eq!(version_files(&fixture("versions")), version_files(&temporary.0));
}

/// The text is replaced by an invalid one: beside a valid text, a compiled form that cannot be read would go unnoticed.
#[test]
fn recorded_compiled_form_reads_without_its_text() {
    let version = &recorded_versions()[0];
    let form = &version.documents[COMPILED_DOCUMENT];
    let read = compiled(TEXT_DOCUMENT, INVALID_TEXT, form, &Anywhere).unwrap();
    let expected =
        sagearch_operators::streamed(TEXT_DOCUMENT, &version.documents[TEXT_DOCUMENT], &Anywhere).unwrap();
    assert_eq!(read, expected);
    assert_eq!(read.identity.unwrap().settings.issuers.len(), 2);
    assert_eq!((read.limits.unwrap().lookups, read.limits.unwrap().clients), (12, Some(300)));
    assert_eq!(read.routes.unwrap().sources.len(), 2);
}

#[test]
fn recorded_text_compiles_to_the_recorded_form() {
    for version in recorded_versions() {
        let form = compile(TEXT_DOCUMENT, &version.documents[TEXT_DOCUMENT]).unwrap();
        let [recorded, now] = [&version.documents[COMPILED_DOCUMENT], &form]
            .map(|form| serde_json::from_str::<Value>(form).unwrap());
        assert_eq!(recorded, now);
    }
}

#[test]
fn recorded_service_state_is_rewritten_as_the_same_bytes() {
    let bytes = read_fixture("versions/state");
    let state: State = decode(&bytes).unwrap();
    assert_eq!((state.epoch, state.last_number, state.stable), (1, 3, Some(2)));
    assert_eq!(state.halted.as_deref(), Some("2 gateways have turned it down"));
    let (number, rollout) = state.candidate.clone().unwrap();
    assert_eq!((number, rollout.stage, rollout.percentage()), (3, 0, 20));
    assert_eq!(rollout.plan, Plan { stages: vec![20, 100], ..Plan::default() });
    assert!(encode(&state).unwrap() == bytes, "{state:?}");
}
