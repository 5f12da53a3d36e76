//! Starts programs under the shim and puts plans in service.

use crate::{Counters, FaultError, FaultPlan};
use sagearch_fault_control::{CONTROL_VARIABLE, Mapping};
use std::ffi::CString;
use std::fs::File;
use std::io;
use std::os::unix::ffi::OsStrExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// The shared library's file.
const SHIM: &str = "libsagearch_fault_shim.so";
/// Names a shared library that stands elsewhere.
const SHIM_VARIABLE: &str = "SAGEARCH_FAULT_SHIM";
/// The folder of a cargo profile that holds dependencies and test programs.
const DEPENDENCIES: &str = "deps";

/// Faults for the programs that are started under it. They share one plan and its counters.
#[derive(Debug)]
pub struct Injector {
    shim: PathBuf,
    control: PathBuf,
    page: Mapping,
    /// Held while the plan is being replaced.
    replacing: Mutex<()>,
}

impl Injector {
    /// Makes the control file in a folder, with a plan without faults. It also holds the counters. The same seed gives
    /// the same faults to the same sequence of calls.
    ///
    /// # Errors
    /// [`FaultError::ShimNotFound`] and [`FaultError::ControlFile`].
    pub fn new(folder: &Path, seed: u64) -> Result<Injector, FaultError> {
        static MADE: AtomicU64 = AtomicU64::new(0);
        let number = MADE.fetch_add(1, Ordering::Relaxed);
        let shim = find_shim()?;
        let control = folder.join(format!("faults-{}-{number}.control", std::process::id()));
        let page = make_control_file(folder, &control, seed);
        let page = page.map_err(|source| FaultError::ControlFile { path: control.clone(), source })?;
        Ok(Injector { shim, control, page, replacing: Mutex::new(()) })
    }

    /// Has a program start under the shim.
    pub fn apply_to(&self, command: &mut Command) {
        command.env("LD_PRELOAD", &self.shim).env(CONTROL_VARIABLE, &self.control);
    }

    /// Replaces the plan in service: each call that begins from now on goes by the new one.
    ///
    /// # Errors
    /// [`FaultError`] for a plan that can't be put in service; the one before stays.
    pub fn set(&self, plan: &FaultPlan) -> Result<(), FaultError> {
        plan.check()?;
        let _replacing = self.replacing.lock().unwrap_or_else(PoisonError::into_inner);
        self.page.write_plan(|place| plan.store(place));
        Ok(())
    }

    /// What has been counted up to now.
    ///
    /// # Errors
    /// None at present.
    pub fn counters(&self) -> Result<Counters, FaultError> {
        Ok(Counters::read(&self.page))
    }
}

impl Drop for Injector {
    fn drop(&mut self) {
        // Processes that have mapped it keep it. One that stays behind by an error does no harm.
        let _ = std::fs::remove_file(&self.control);
    }
}

fn make_control_file(folder: &Path, control: &Path, seed: u64) -> io::Result<Mapping> {
    std::fs::create_dir_all(folder)?;
    File::create(control)?.set_len(Mapping::LENGTH as u64)?;
    let page = Mapping::open(&CString::new(control.as_os_str().as_bytes())?)?;
    page.initialize(seed);
    Ok(page)
}

/// Cargo builds the shim into the folder of dependencies, as this crate depends on it; test programs stand there, too,
/// and other programs in the folder above.
fn find_shim() -> Result<PathBuf, FaultError> {
    let named = std::env::var_os(SHIM_VARIABLE).map(PathBuf::from);
    let program = std::env::current_exe().ok();
    let folder = program.as_deref().and_then(Path::parent);
    let beside = folder.into_iter().flat_map(|folder| {
        [
            folder.join(SHIM),
            folder.join(DEPENDENCIES).join(SHIM),
            folder.join("..").join(DEPENDENCIES).join(SHIM),
        ]
    });
    let looked: Vec<PathBuf> = named.into_iter().chain(beside).collect();
    match looked.iter().find(|path| path.is_file()) {
        Some(shim) => Ok(shim.clone()),
        None => Err(FaultError::ShimNotFound { looked }),
    }
}
