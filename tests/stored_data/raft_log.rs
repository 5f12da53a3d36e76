//! The Raft log: two of three instances start from recorded logs and commit another entry.

use super::stand::*;
use super::{fixture, read_fixture};
use protobuf::Message;
use raft::eraftpb::{Entry, HardState};
use sagearch::consensus::{Instance, propose};
use sagearch_operators::fronts::Raft;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const RECORDED_DOCUMENTS: [&str; 3] = [r#"deadline "500ms""#, r#"deadline "600ms""#, r#"deadline "700ms""#];
const APPENDED_DOCUMENT: &str = r#"deadline "800ms""#;

/// A record of the log, as the earlier program reads it.
#[derive(Debug)]
enum Record {
    Vote(HardState),
    Entry(Entry),
}

fn checksum(kind: u8, bytes: &[u8]) -> u32 {
    let fnv = |hash: u32, byte: &u8| (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
    bytes.iter().fold(fnv(0x811c_9dc5, &kind), fnv)
}

/// Decodes records of length, kind, checksum and protobuf message. This repeats the earlier program's decoder, and is
/// independent of the current one.
fn decode_records(mut bytes: &[u8]) -> Vec<Record> {
    let mut records = Vec::new();
    while !bytes.is_empty() {
        let (length, rest) = bytes.split_first_chunk::<4>().unwrap();
        let (kind, rest) = rest.split_first().unwrap();
        let (record, rest) = rest.split_at(u32::from_be_bytes(*length) as usize);
        let (sum, record) = record.split_first_chunk::<4>().unwrap();
        assert_eq!(u32::from_be_bytes(*sum), checksum(*kind, record));
        records.push(match kind {
            b'H' => Record::Vote(HardState::parse_from_bytes(record).unwrap()),
            b'E' => Record::Entry(Entry::parse_from_bytes(record).unwrap()),
            other => panic!("expected a record of kind H or E, found {other}"),
        });
        bytes = rest;
    }
    records
}

fn documents(records: &[Record]) -> Vec<String> {
    let entries = records.iter().filter_map(|record| match record {
        Record::Entry(entry) if !entry.data.is_empty() => Some(entry),
        _ => None,
    });
    entries.map(|entry| String::from_utf8(entry.data.to_vec()).unwrap()).collect()
}

/// The term and the candidate of the last vote in a log.
fn last_vote(records: &[Record]) -> (u64, u64) {
    let votes = records.iter().rev().find_map(|record| match record {
        Record::Vote(state) => Some((state.term, state.vote)),
        Record::Entry(_) => None,
    });
    votes.expect("the log holds a vote")
}

struct RunningInstance {
    _instance: Instance,
    applied: Arc<Mutex<Vec<String>>>,
}

fn start(member: &Raft) -> RunningInstance {
    let applied: Arc<Mutex<Vec<String>>> = Arc::default();
    let (applied_log, check) = (applied.clone(), Arc::new(|_: &[u8]| Ok(())));
    let apply =
        move |text: &[u8]| applied_log.lock().unwrap().push(String::from_utf8_lossy(text).into_owned());
    RunningInstance { _instance: Instance::start(member, check, apply).unwrap(), applied }
}

/// The configurations of the first two members of a group of three.
fn members(folder: &Folder) -> Vec<Raft> {
    let listeners: Vec<TcpListener> =
        (0..3).map(|_| TcpListener::bind((Ipv4Addr::new(127, 0, 3, 1), 0)).unwrap()).collect();
    let addresses: BTreeMap<u64, SocketAddr> =
        (1..).zip(&listeners).map(|(id, listener)| (id, listener.local_addr().unwrap())).collect();
    let peers = |id| {
        addresses.iter().filter(|(peer, _)| **peer != id).map(|(peer, address)| (*peer, *address)).collect()
    };
    let member =
        |id| Raft { id, listen: addresses[&id], peers: peers(id), data: folder.0.join(id.to_string()) };
    (1..=2).map(member).collect()
}

#[test]
fn recorded_log_holds_its_documents_and_votes_of_several_terms() {
    for name in ["raft/1.log", "raft/2.log"] {
        let records = decode_records(&read_fixture(name));
        assert_eq!(documents(&records), RECORDED_DOCUMENTS, "{name}");
        assert!(last_vote(&records).0 >= 2, "{name}");
    }
}

#[test]
fn instances_with_recorded_logs_resume_and_append_in_the_same_form() {
    let folder = Folder::default();
    let members = members(&folder);
    for member in &members {
        std::fs::create_dir_all(&member.data).unwrap();
        std::fs::copy(fixture(&format!("raft/{}.log", member.id)), member.data.join("raft.log")).unwrap();
    }
    let instances: Vec<RunningInstance> = members.iter().map(start).collect();
    let proposed = Instant::now();
    while let Err(cause) = propose(members[0].listen, APPENDED_DOCUMENT.as_bytes()) {
        assert!(proposed.elapsed() < Duration::from_secs(60), "{cause}");
        std::thread::sleep(Duration::from_millis(50));
    }
    let expected: Vec<&str> = RECORDED_DOCUMENTS.into_iter().chain([APPENDED_DOCUMENT]).collect();
    for instance in &instances {
        wait_for("all documents are applied", || {
            let mut applied = instance.applied.lock().unwrap().clone();
            applied.dedup();
            applied == expected
        });
    }
    drop(instances);
    for member in &members {
        let (before, now) = (
            read_fixture(&format!("raft/{}.log", member.id)),
            std::fs::read(member.data.join("raft.log")).unwrap(),
        );
        assert!(now.starts_with(&before), "the recorded log is a prefix of the new one");
        let (before, now) = (decode_records(&before), decode_records(&now));
        assert!(
            last_vote(&now).0 > last_vote(&before).0,
            "no second vote in a recorded term: the last vote has a later term"
        );
        let mut documents = documents(&now);
        documents.dedup();
        assert_eq!(documents, expected);
    }
}
