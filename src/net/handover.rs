//! What outlives a process: the clients' listening socket, where the platform holds it, and the operators'
//! intents, in a file under `$TMPDIR`. Two processes of one gateway
//! may run side by side for a while, so the file is the one truth: each amends it under a lock, and each
//! looks at it again and again.

use super::core::Core;
use super::lock;
use crate::events::member_id;
use may::net::{TcpListener, TcpStream};
use may::sync::mpsc;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io;
use std::mem::ManuallyDrop;
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, IntoRawFd, RawFd};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

/// How often the file is looked at: what another process was told holds here well within 1 s.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// How long an operator's call waits for its word; it is owed one within 1 s.
const AMENDED_WITHIN: Duration = Duration::from_millis(700);
/// Stores put back are remembered for longer than any takes to get warm.
const BACK_KEPT_MS: u64 = 600_000;

/// What operators want, until they say otherwise.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Intents {
    /// Stores that are out, by name.
    out: BTreeSet<String>,
    /// When stores were put back, in Unix milliseconds: they count as started then.
    back: BTreeMap<String, u64>,
    drained: bool,
}

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Intent {
    TakeOut(String),
    PutBack(String),
    Drain(bool),
}

impl Intents {
    /// Whether a store is out, or was until lately.
    pub fn names(&self, store: &str) -> bool {
        self.out.contains(store) || self.back.contains_key(store)
    }

    /// Calls repeat safely: two calls out need one call back.
    fn amend(&mut self, intent: &Intent, now_ms: u64) {
        match intent {
            Intent::TakeOut(store) => {
                self.out.insert(store.clone());
            }
            Intent::PutBack(store) => {
                if self.out.remove(store) {
                    self.back.insert(store.clone(), now_ms);
                }
            }
            Intent::Drain(drained) => self.drained = *drained,
        }
        self.back.retain(|_, at| now_ms < at.saturating_add(BACK_KEPT_MS));
    }
}

/// The clients' listening socket that the platform holds and every process inherits. It is shared: nobody may
/// shut it down.
pub fn inherit(socket: RawFd, listen: SocketAddr) -> io::Result<TcpListener> {
    // SAFETY: the platform has opened the descriptor for this process, which uses it nowhere else; it is only
    // looked at here, and not closed.
    let held = ManuallyDrop::new(unsafe { std::net::TcpListener::from_raw_fd(socket) });
    let at = held.local_addr()?;
    if at != listen {
        log::warn!("descriptor {socket} listens on {at}, not on {listen}");
    }
    // SAFETY: as above; it is a socket, and from here on the listener's.
    Ok(unsafe { TcpListener::from_raw_fd(socket) })
}

/// An accepted connection, for coroutines.
pub fn stream(stream: std::net::TcpStream) -> TcpStream {
    // SAFETY: the descriptor was just accepted and has no other owner.
    unsafe { TcpStream::from_raw_fd(stream.into_raw_fd()) }
}

struct Ask {
    intent: Intent,
    done: mpsc::Sender<io::Result<()>>,
}

/// Where intents are handed in, and what they are now.
pub struct Keeper {
    asks: mpsc::Sender<Ask>,
    held: Arc<Mutex<Intents>>,
}

impl Keeper {
    /// Whether a store is out, or was until lately.
    pub fn names(&self, store: &str) -> bool {
        lock(&self.held).names(store)
    }

    /// Returns once the intent is stored and holds here.
    pub fn amend(&self, intent: Intent) -> io::Result<()> {
        let (done, answer) = mpsc::channel();
        self.asks.send(Ask { intent, done }).map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))?;
        answer.recv_timeout(AMENDED_WITHIN).unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }
}

/// The file, as it was last seen. Without a folder nothing outlives the process.
struct Lasting {
    file: Option<PathBuf>,
    seen: Option<(SystemTime, u64)>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// The file of a gateway's name, which may hold anything.
pub fn file_in(folder: &Path, name: &str, ending: &str) -> PathBuf {
    let plain = |c: char| if c.is_ascii_alphanumeric() || "-_".contains(c) { c } else { '_' };
    folder.join(format!("sagearch-{}.{ending}", name.chars().map(plain).collect::<String>()))
}

impl Lasting {
    /// What the file says, if it has changed. One that can't be read changes nothing and stops nothing.
    fn look(&mut self) -> Option<Intents> {
        let file = self.file.as_ref()?;
        let told = fs::metadata(file).ok()?;
        let seen = Some((told.modified().ok()?, told.len()));
        if seen == self.seen {
            return None;
        }
        self.seen = seen;
        read(file)
    }

    fn amend(&mut self, before: &Intents, intent: &Intent) -> io::Result<Intents> {
        let Some(file) = &self.file else {
            let mut intents = before.clone();
            intents.amend(intent, unix_ms());
            return Ok(intents);
        };
        let guard = File::create(file.with_extension("lock"))?;
        guard.lock()?;
        let mut intents = read(file).unwrap_or_else(|| before.clone());
        intents.amend(intent, unix_ms());
        let beside = file.with_extension("new");
        fs::write(&beside, serde_json::to_vec(&intents)?)?;
        fs::rename(&beside, file)?;
        Ok(intents)
    }
}

fn read(file: &Path) -> Option<Intents> {
    let text = fs::read(file).inspect_err(|e| log::debug!("{}: {e}", file.display())).ok()?;
    let intents = serde_json::from_slice(&text);
    intents.inspect_err(|e| log::warn!("{}: {e}; not used", file.display())).ok()
}

/// Makes new intents hold here.
fn apply(core: &Core, intents: &Mutex<Intents>, new: Intents) {
    let mut held = lock(intents);
    let now = core.clock.now();
    let started = |store: &str| new.back.get(store).and_then(|at| core.clock.at(*at)).unwrap_or(now);
    let mut broker = core.broker();
    for store in new.out.difference(&held.out) {
        log::info!("{store} is taken out by hand");
        broker.take_out(now, member_id(store));
    }
    for store in held.out.difference(&new.out) {
        log::info!("{store} is put back by hand");
        broker.put_back(now, member_id(store), started(store));
    }
    if new.drained != held.drained {
        log::info!("{}", if new.drained { "the gateway is being emptied" } else { "the drain is over" });
        broker.drain(now, new.drained);
    }
    *held = new;
}

/// Takes in what lasts, and keeps it on a thread of its own, as files are read and written there.
pub fn start(core: &Arc<Core>, folder: Option<&Path>, name: &str) -> io::Result<Keeper> {
    let mut lasting = Lasting { file: folder.map(|folder| file_in(folder, name, "json")), seen: None };
    let held: Arc<Mutex<Intents>> = Arc::default();
    if let Some(intents) = lasting.look() {
        // Stores put back before this process began may still be cold.
        let now = core.clock.now();
        for (store, at) in &intents.back {
            let started = core.clock.at(*at).unwrap_or(now);
            core.broker().take_out(now, member_id(store));
            core.broker().put_back(now, member_id(store), started);
        }
        apply(core, &held, intents);
    }
    let (keeper, asked) = mpsc::channel::<Ask>();
    let (core, kept) = (core.clone(), held.clone());
    std::thread::Builder::new().name("handover".into()).stack_size(256 * 1024).spawn(move || {
        loop {
            let changed = match asked.recv_timeout(LOOK_EVERY) {
                Ok(Ask { intent, done }) => {
                    let before = lock(&kept).clone();
                    let amended = lasting.amend(&before, &intent);
                    let told = amended.as_ref().map_or_else(|e| Err(e.kind().into()), |_| Ok(()));
                    amended.into_iter().for_each(|intents| apply(&core, &kept, intents));
                    let _ = done.send(told);
                    None
                }
                Err(std::sync::mpsc::RecvTimeoutError::Timeout) => lasting.look(),
                Err(std::sync::mpsc::RecvTimeoutError::Disconnected) => return,
            };
            changed.into_iter().for_each(|intents| apply(&core, &kept, intents));
        }
    })?;
    Ok(Keeper { asks: keeper, held })
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    #[test]
    fn two_calls_out_need_one_back() {
        let mut intents = Intents::default();
        let store = || "s-1".to_string();
        for intent in [Intent::TakeOut(store()), Intent::TakeOut(store()), Intent::PutBack(store())] {
            intents.amend(&intent, 5);
        }
        assert_eq!((intents.out.len(), intents.back["s-1"]), (0, 5));
        intents.amend(&Intent::PutBack(store()), 9);
        assert_eq!(intents.back["s-1"], 5, "a store that was not out keeps its time");
        intents.amend(&Intent::Drain(true), 6 + BACK_KEPT_MS);
        assert!(intents.drained && intents.back.is_empty());
    }

    #[rstest]
    #[case::empty("")]
    #[case::torn("{\"out\":[\"s-")]
    #[case::other_form("[1]")]
    fn a_broken_file_is_not_used(#[case] text: &str) {
        let file =
            std::env::temp_dir().join(format!("sagearch-broken-{}-{}", std::process::id(), text.len()));
        fs::write(&file, text).unwrap();
        assert_eq!(read(&file), None);
        fs::remove_file(&file).unwrap();
    }

    #[rstest]
    #[case("n3", "sagearch-n3.json")]
    #[case("../n 3", "sagearch-___n_3.json")]
    fn a_name_makes_a_file_in_the_folder(#[case] name: &str, #[case] file: &str) {
        assert_eq!(file_in(Path::new("/t"), name, "json"), Path::new("/t").join(file));
    }
}
