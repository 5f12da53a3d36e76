use super::*;
use crate::net::clock::Clock;
use proptest::prelude::*;
use sagearch_identity::{Credentials, Reason};
use sagearch_operators::control::Control;
use sagearch_stream::version::Documents;
use serde_json::json;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// The public key of RFC 8037, appendix A.2.
const KEY_SET: &str = r#"{"keys":[{"kty":"OKP","crv":"Ed25519","alg":"EdDSA","use":"sig","kid":"k1","x":"11qYAYKxCrfVS_7TyWQHOg7hcvPapiMlrwIaaPcHURo"}]}"#;

/// What an operators' file says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileForm {
    /// Nobody is served without a streamed version.
    requires_version: bool,
    /// It names a key set in a file, which may be missing.
    names_key_file: bool,
}

/// What may happen to the configuration of a gateway.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The key file appears or disappears.
    KeyFile { is_present: bool },
    /// The upkeep tries the configuration again that could not be put in force.
    Retry,
    /// SIGHUP.
    Reload(FileForm),
    /// A streamed version arrives.
    Version,
}

/// What ought to hold.
struct Model {
    file: FileForm,
    has_key_file: bool,
    has_version: bool,
    is_invalid: bool,
}

impl Model {
    fn is_usable(&self, file: FileForm) -> bool {
        // The identity of a version takes the place of the file's, and with it the key file.
        !file.names_key_file || self.has_key_file || self.has_version
    }

    fn seal(&self) -> Option<SealCause> {
        if self.is_invalid {
            Some(SealCause::InvalidConfiguration)
        } else if self.file.requires_version && !self.has_version {
            Some(SealCause::NoVersion)
        } else {
            None
        }
    }
}

/// A configuration with a folder for its key file.
struct Fixture {
    folder: PathBuf,
    config: LayeredConfig,
}

impl Fixture {
    fn new() -> Fixture {
        static MADE: AtomicUsize = AtomicUsize::new(0);
        let name = format!("sagearch-layers-{}-{}", std::process::id(), MADE.fetch_add(1, Ordering::SeqCst));
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let settings = json!({
            "Classes": [], "Instances": 1, "Limits": {"SendCap": 1}, "Obligations": {}, "Zone": "edge", "Zones": ["edge"],
        });
        let guard = Guard::new(Clock::default(), 7, crate::settings::decode(settings).unwrap());
        // The steps of a test are the only ones that try a configuration again.
        guard.stop();
        Fixture { folder, config: LayeredConfig::new(guard) }
    }

    fn key_file(&self) -> PathBuf {
        self.folder.join("keys.json")
    }

    fn set_key_file(&self, is_present: bool) {
        if is_present {
            std::fs::write(self.key_file(), KEY_SET).unwrap();
        } else {
            let _ = std::fs::remove_file(self.key_file());
        }
    }

    fn operators(&self, form: FileForm) -> Operators {
        let mut text = String::new();
        if form.names_key_file {
            text = identity(&format!("file=\"{}\"", self.key_file().display()));
        }
        let names = &self.config.guard.version.snapshot().deployment.names;
        let mut operators = sagearch_operators::parse("gateway.kdl", &text, names).unwrap();
        operators.control = form.requires_version.then(|| control(&self.folder));
        operators
    }

    /// Whether a request without credentials is rejected as nobody is served.
    fn is_rejected(&self) -> bool {
        let admission = &self.config.guard.admission;
        let (_, admitted) = admission.admit(Credentials::default(), "video", "GET", "o1");
        matches!(admitted, Err(Reason::Sealed))
    }

    fn take(&self, step: Step, model: &mut Model) {
        match step {
            Step::KeyFile { is_present } => {
                self.set_key_file(is_present);
                model.has_key_file = is_present;
            }
            Step::Retry => {
                let version = &self.config.guard.version;
                if version.is_sealed_by(SealCause::InvalidConfiguration)
                    && let Ok(staged) = version.stage_again()
                {
                    version.commit(staged);
                }
                model.is_invalid &= !model.is_usable(model.file);
            }
            Step::Reload(form) => {
                let deployment = (*self.config.guard.version.snapshot().deployment).clone();
                let replaced = self.config.replace_file(self.operators(form), deployment, |_| ());
                assert_eq!(replaced.is_ok(), model.is_usable(form));
                if model.is_usable(form) {
                    model.file = form;
                    model.is_invalid = false;
                }
            }
            Step::Version => {
                self.config.commit(self.config.stage(&Arc::new(version())).unwrap());
                model.has_version = true;
                model.is_invalid = false;
            }
        }
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn version() -> Version {
    let text = identity("set=\"main\"") + &format!("key-set \"main\" json=#\"{KEY_SET}\"#\n");
    Version::new(1, 1, Documents::from([(DOCUMENT.into(), text)]))
}

fn identity(keys: &str) -> String {
    format!(
        "identity {{\n audience \"gw\"\n issuer \"iss\" {{ keys {keys}; }}\n tenant \"red\" {{\n \
         token issuer=\"iss\" claim=\"tenant\" value=\"red\"\n allow \"*\"\n }}\n}}\n"
    )
}

/// A control block that refuses without a version.
fn control(folder: &Path) -> Control {
    let text = format!(
        "control data=\"{}\" show-version=#true roots=\"ca.pem\" certificate=\"n0.pem\" key=\"n0.key\" {{\n \
         address \"127.0.0.1:1\" name=\"service.test\"\n}}\n",
        folder.display()
    );
    let names = crate::settings::decode(json!({
        "Classes": [], "Instances": 1, "Limits": {"SendCap": 1}, "Obligations": {}, "Zone": "edge", "Zones": ["edge"],
    }));
    sagearch_operators::parse("gateway.kdl", &text, &names.unwrap().names).unwrap().control.unwrap()
}

fn file_form() -> impl Strategy<Value = FileForm> {
    let form = |(requires_version, names_key_file)| FileForm { requires_version, names_key_file };
    any::<(bool, bool)>().prop_map(form)
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        any::<bool>().prop_map(|is_present| Step::KeyFile { is_present }),
        Just(Step::Retry),
        file_form().prop_map(Step::Reload),
        Just(Step::Version),
    ]
}

proptest! {
    /// Guards against a seal that another cause's end lifts, as the upkeep of key files lifted that of a missing version,
    /// and against one that outlives its own.
    #[test]
    fn each_seal_holds_until_its_own_cause_has_ended(
        first in file_form(),
        has_key_file: bool,
        steps in prop::collection::vec(step(), 0..12),
    ) {
        let fixture = Fixture::new();
        fixture.set_key_file(has_key_file);
        let mut model = Model { file: first, has_key_file, has_version: false, is_invalid: false };
        model.is_invalid = !model.is_usable(first);
        fixture.config.start(&Ok::<_, String>(fixture.operators(first)));
        prop_assert_eq!(fixture.config.guard.version.seal(), model.seal());
        for step in steps {
            fixture.take(step, &mut model);
            prop_assert_eq!(fixture.config.guard.version.seal(), model.seal(), "after {:?}", step);
            prop_assert_eq!(fixture.is_rejected(), model.seal().is_some(), "after {:?}", step);
        }
    }
}

/// A file that requires a version was in force for a moment before it was sealed: requests in between were served under
/// no version.
#[test]
fn file_that_requires_a_version_is_never_in_force_unsealed() {
    let fixture = Fixture::new();
    let [open, sealed] =
        [false, true].map(|requires_version| FileForm { requires_version, names_key_file: false });
    fixture.config.start(&Ok::<_, String>(fixture.operators(open)));
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let reader = scope.spawn(|| {
            let mut served_unsealed = 0;
            while !stop.load(Ordering::SeqCst) {
                let admission = &fixture.config.guard.admission;
                let (snapshot, admitted) = admission.admit(Credentials::default(), "video", "GET", "o1");
                // The file that requires a version also has its name shown.
                served_unsealed += usize::from(snapshot.shows_version && admitted.is_ok());
            }
            served_unsealed
        });
        let deployment = (*fixture.config.guard.version.snapshot().deployment).clone();
        for form in [sealed, open].into_iter().cycle().take(2_000) {
            fixture.config.replace_file(fixture.operators(form), deployment.clone(), |_| ()).unwrap();
        }
        stop.store(true, Ordering::SeqCst);
        assert_eq!(reader.join().unwrap(), 0);
    });
}

#[test]
fn operators_file_that_cannot_be_parsed_seals_until_one_is_put_in_force() {
    let fixture = Fixture::new();
    fixture.config.start(&Err::<Operators, _>("a fault"));
    assert_eq!(fixture.config.guard.version.seal(), Some(SealCause::InvalidConfiguration));
    let mut model = Model {
        file: FileForm { requires_version: false, names_key_file: false },
        has_key_file: false,
        has_version: false,
        is_invalid: true,
    };
    for requires_version in [true, false] {
        let form = FileForm { requires_version, names_key_file: false };
        fixture.take(Step::Reload(form), &mut model);
        assert_eq!(fixture.config.guard.version.seal(), model.seal());
    }
}
