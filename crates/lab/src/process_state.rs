//! What a process should be doing while several faults are in force on it.

use crate::scenario::ProcessFault;

/// What a process should be doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// It works.
    Running,
    /// By SIGSTOP.
    Stopped,
    /// It has ended.
    Down,
}

/// What is done to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessAction {
    /// SIGKILL.
    Kill,
    /// SIGTERM.
    Terminate,
    /// SIGSTOP.
    Stop,
    /// SIGCONT.
    Continue,
    /// SIGHUP.
    Hangup,
    /// A new process, once the one before has ended.
    Start,
}

/// The faults in force on one process, by their numbers in the schedule.
#[derive(Clone, Debug, Default)]
pub struct ActiveProcessFaults {
    active: Vec<(usize, ProcessFault)>,
}

impl ActiveProcessFaults {
    /// One that is down stays down until the last fault that took it down has ended; stopped is the next worst.
    pub fn state(&self) -> ProcessState {
        let any = |faults: &[ProcessFault]| self.active.iter().any(|(_, fault)| faults.contains(fault));
        if any(&[ProcessFault::Kill, ProcessFault::Term]) {
            ProcessState::Down
        } else if any(&[ProcessFault::Stop]) {
            ProcessState::Stopped
        } else {
            ProcessState::Running
        }
    }

    /// A fault begins; tells what is to be done.
    pub fn begin(&mut self, number: usize, fault: ProcessFault) -> Vec<ProcessAction> {
        let before = self.state();
        if fault == ProcessFault::Hup {
            return if before == ProcessState::Down { Vec::new() } else { vec![ProcessAction::Hangup] };
        }
        self.active.push((number, fault));
        match (before, fault) {
            (ProcessState::Down, _) => Vec::new(),
            (_, ProcessFault::Kill) => vec![ProcessAction::Kill],
            // One that is stopped gets to know of it when it goes on.
            (ProcessState::Stopped, ProcessFault::Term) => {
                vec![ProcessAction::Terminate, ProcessAction::Continue]
            }
            (_, ProcessFault::Term) => vec![ProcessAction::Terminate],
            (ProcessState::Running, ProcessFault::Stop) => vec![ProcessAction::Stop],
            _ => Vec::new(),
        }
    }

    /// A fault ends; tells what is to be done.
    pub fn end(&mut self, number: usize) -> Vec<ProcessAction> {
        let before = self.state();
        self.active.retain(|(held, _)| *held != number);
        match (before, self.state()) {
            (ProcessState::Down, ProcessState::Running) => vec![ProcessAction::Start],
            (ProcessState::Down, ProcessState::Stopped) => vec![ProcessAction::Start, ProcessAction::Stop],
            (ProcessState::Stopped, ProcessState::Running) => vec![ProcessAction::Continue],
            _ => Vec::new(),
        }
    }
}

#[cfg(test)]
mod tests;
