//! What a process should be doing while several faults lie on it at once.

use crate::scenario::Blow;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    Running,
    /// By SIGSTOP.
    Stopped,
    Down,
}

/// What is done to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessAction {
    Kill,
    Terminate,
    Stop,
    Continue,
    Hangup,
    /// A new process, once the one before has ended.
    Start,
}

/// The blows in force on one process.
#[derive(Clone, Debug, Default)]
pub struct ActiveFaults {
    active: Vec<(usize, Blow)>,
}

impl ActiveFaults {
    /// One that is down stays down until the last blow that took it down has ended; stopped is the next worst.
    pub fn state(&self) -> ProcessState {
        let any = |blows: &[Blow]| self.active.iter().any(|(_, blow)| blows.contains(blow));
        if any(&[Blow::Kill, Blow::Term]) {
            ProcessState::Down
        } else if any(&[Blow::Stop]) {
            ProcessState::Stopped
        } else {
            ProcessState::Running
        }
    }

    pub fn begin(&mut self, number: usize, blow: Blow) -> Vec<ProcessAction> {
        let before = self.state();
        if blow == Blow::Hup {
            return if before == ProcessState::Down { Vec::new() } else { vec![ProcessAction::Hangup] };
        }
        self.active.push((number, blow));
        match (before, blow) {
            (ProcessState::Down, _) => Vec::new(),
            (_, Blow::Kill) => vec![ProcessAction::Kill],
            // One that is stopped gets to know of it when it goes on.
            (ProcessState::Stopped, Blow::Term) => vec![ProcessAction::Terminate, ProcessAction::Continue],
            (_, Blow::Term) => vec![ProcessAction::Terminate],
            (ProcessState::Running, Blow::Stop) => vec![ProcessAction::Stop],
            _ => Vec::new(),
        }
    }

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
mod tests {
    use super::*;
    use rstest::rstest;

    #[derive(Clone, Copy)]
    enum Turn {
        Begin(usize, Blow),
        End(usize),
    }
    use Turn::{Begin, End};

    #[rstest]
    #[case::killed(&[Begin(1, Blow::Kill), End(1)], &[ProcessAction::Kill, ProcessAction::Start])]
    #[case::killed_twice(&[Begin(1, Blow::Kill), Begin(2, Blow::Kill), End(1), End(2)], &[ProcessAction::Kill, ProcessAction::Start])]
    #[case::killed_while_stopped(&[Begin(1, Blow::Stop), Begin(2, Blow::Kill), End(2), End(1)],
        &[ProcessAction::Stop, ProcessAction::Kill, ProcessAction::Start, ProcessAction::Stop, ProcessAction::Continue])]
    #[case::stopped_while_down(&[Begin(1, Blow::Kill), Begin(2, Blow::Stop), End(2), End(1)],
        &[ProcessAction::Kill, ProcessAction::Start])]
    #[case::stops_whose_ends_cross(&[Begin(1, Blow::Stop), Begin(2, Blow::Stop), End(1), End(2)],
        &[ProcessAction::Stop, ProcessAction::Continue])]
    #[case::terminated_while_stopped(&[Begin(1, Blow::Stop), Begin(2, Blow::Term), End(1), End(2)],
        &[ProcessAction::Stop, ProcessAction::Terminate, ProcessAction::Continue, ProcessAction::Start])]
    #[case::hung_up(&[Begin(1, Blow::Hup), Begin(2, Blow::Kill), Begin(3, Blow::Hup), End(2)],
        &[ProcessAction::Hangup, ProcessAction::Kill, ProcessAction::Start])]
    fn blows_overlap(#[case] turns: &[Turn], #[case] actions: &[ProcessAction]) {
        let mut faults = ActiveFaults::default();
        let taken: Vec<ProcessAction> = turns
            .iter()
            .flat_map(|turn| match turn {
                Begin(number, blow) => faults.begin(*number, *blow),
                End(number) => faults.end(*number),
            })
            .collect();
        assert_eq!(taken, actions);
        assert_eq!(faults.state(), ProcessState::Running);
    }
}
