//! Votes and log entries on disk, without which a restarted instance could vote twice in one term.
//!
//! The file is a sequence of frames, each with a checksum. Records are appended and synced; whenever that fails, or the
//! file's end is torn, the whole file is written anew from what is in memory, as nothing is known of its end.

use super::frame::{Frame, FrameError, read_frame, write_frame};
use protobuf::{Message as _, ProtobufError};
use raft::eraftpb::{Entry, HardState};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, Storage};
use sagearch_folder::{AppendFile, Folder, StorageError};
use thiserror::Error;

/// The file's name in the instance's folder.
const FILE: &str = "raft.log";
/// The kind of a frame that holds a term, a vote and the commit index.
const HARD_STATE: u8 = b'H';
/// The kind of a frame that holds a log entry.
const ENTRY: u8 = b'E';
/// The parameters of the checksum, which is FNV-1a of 32 bits.
const FNV_OFFSET: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

/// Why votes and entries can't be read or stored.
#[derive(Debug, Error)]
pub enum LogError {
    /// The file system failed; the call can be made again.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The file holds a record of a kind that this program doesn't know.
    #[error("{FILE}: a record of unknown kind")]
    UnknownKind,
    /// The file holds a record whose checksum is right and whose content can't be decoded.
    #[error("{FILE}: {0}")]
    Malformed(ProtobufError),
    /// A record can't be encoded.
    #[error("records: {0}")]
    Encode(#[from] ProtobufError),
    /// A record is too long for a frame.
    #[error("records: {0}")]
    Frame(#[from] FrameError),
    /// The log in memory lacks entries, or does not take those of the file.
    #[error("records: {0}")]
    Memory(#[from] raft::Error),
}

/// The file of votes and entries, and its counterpart in memory.
pub struct RecordLog {
    folder: Folder,
    storage: MemStorage,
    /// `None`: the file's end is unknown, and it is written anew before anything is appended.
    file: Option<AppendFile>,
}

impl RecordLog {
    /// Opens the file, or creates it, and reads it into `storage`, which must be empty. A record that a crash cut short was
    /// never acknowledged: it is dropped with all that follows.
    ///
    /// # Errors
    ///
    /// If the file system fails, or the file holds a record that can't be decoded.
    pub fn open(folder: &Folder, storage: &MemStorage) -> Result<RecordLog, LogError> {
        folder.create()?;
        let stored = folder.load(FILE)?;
        let bytes = stored.as_deref().unwrap_or_default();
        let records = parse(bytes)?;
        let mut log = RecordLog { folder: folder.clone(), storage: storage.clone(), file: None };
        if stored.is_none() || records.length < bytes.len() {
            let dropped = bytes.len() - records.length;
            if dropped > 0 {
                log::warn!("{FILE}: torn: {dropped} bytes after the last good record are dropped");
            }
            log.folder.replace(FILE, &bytes[..records.length], std::process::id())?;
        }
        log.file = Some(log.folder.open_append(FILE)?);
        // Nothing fails from here on: after an error the caller opens the log again into the same storage.
        records.load_into(storage)?;
        Ok(log)
    }

    /// Returns once the records are on disk: only then may they be acknowledged to peers. After an error the call has to be
    /// repeated with the same records.
    ///
    /// # Errors
    ///
    /// If the file system fails, or a record can't be encoded.
    pub fn store(&mut self, entries: &[Entry], state: Option<&HardState>) -> Result<(), LogError> {
        let mut bytes = Vec::new();
        encode(&mut bytes, entries, state)?;
        if bytes.is_empty() {
            return Ok(());
        }
        let file = match self.file.take() {
            Some(file) => file.append(&bytes)?,
            None => self.rewrite(&bytes)?,
        };
        self.file = Some(file);
        Ok(())
    }

    /// Writes the whole file anew: what memory holds, and then the new records.
    fn rewrite(&self, new: &[u8]) -> Result<AppendFile, LogError> {
        let mut bytes = self.encode_stored()?;
        bytes.extend_from_slice(new);
        self.folder.replace(FILE, &bytes, std::process::id())?;
        Ok(self.folder.open_append(FILE)?)
    }

    fn encode_stored(&self) -> Result<Vec<u8>, LogError> {
        let first = self.storage.first_index()?;
        let end = self.storage.last_index()? + 1;
        let entries = if first < end {
            self.storage.entries(first, end, None, GetEntriesContext::empty(false))?
        } else {
            Vec::new()
        };
        let state = self.storage.rl().hard_state().clone();
        let mut bytes = Vec::new();
        encode(&mut bytes, &entries, Some(&state))?;
        Ok(bytes)
    }
}

fn checksum(kind: u8, bytes: &[u8]) -> u32 {
    let fnv = |hash: u32, byte: &u8| (hash ^ u32::from(*byte)).wrapping_mul(FNV_PRIME);
    bytes.iter().fold(fnv(FNV_OFFSET, &kind), fnv)
}

fn encode(bytes: &mut Vec<u8>, entries: &[Entry], state: Option<&HardState>) -> Result<(), LogError> {
    let mut add = |kind, record: Vec<u8>| {
        let sum = checksum(kind, &record).to_be_bytes();
        write_frame(bytes, kind, &[&sum[..], &record].concat())
    };
    for entry in entries {
        add(ENTRY, entry.write_to_bytes()?)?;
    }
    if let Some(state) = state {
        add(HARD_STATE, state.write_to_bytes()?)?;
    }
    Ok(())
}

enum Record {
    Entry(Entry),
    HardState(HardState),
}

/// The intact records at a file's beginning.
struct Records {
    records: Vec<Record>,
    /// How many bytes they take.
    length: usize,
}

impl Records {
    fn load_into(self, storage: &MemStorage) -> Result<(), LogError> {
        for record in self.records {
            match record {
                Record::HardState(state) => storage.wl().set_hardstate(state),
                Record::Entry(entry) => storage.wl().append(&[entry])?,
            }
        }
        Ok(())
    }
}

fn parse(bytes: &[u8]) -> Result<Records, LogError> {
    let mut rest = bytes;
    let mut intact = Records { records: Vec::new(), length: 0 };
    while let Ok(Frame { kind, content }) = read_frame(&mut rest) {
        let Some((sum, record)) = content.split_first_chunk::<4>() else { break };
        if u32::from_be_bytes(*sum) != checksum(kind, record) {
            break;
        }
        intact.records.push(match kind {
            HARD_STATE => {
                Record::HardState(HardState::parse_from_bytes(record).map_err(LogError::Malformed)?)
            }
            ENTRY => Record::Entry(Entry::parse_from_bytes(record).map_err(LogError::Malformed)?),
            _ => return Err(LogError::UnknownKind),
        });
        intact.length = bytes.len() - rest.len();
    }
    Ok(intact)
}
