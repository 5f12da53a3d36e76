//! What a process should be doing while several faults lie on it at once.

use crate::scenario::Blow;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wanted {
    Up,
    /// By SIGSTOP.
    Stopped,
    Down,
}

/// What is done to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
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
pub struct Blows {
    active: Vec<(usize, Blow)>,
}

impl Blows {
    /// One that is down stays down until the last blow that took it down has ended; stopped is the next worst.
    pub fn wanted(&self) -> Wanted {
        let any = |wanted: &[Blow]| self.active.iter().any(|(_, blow)| wanted.contains(blow));
        if any(&[Blow::Kill, Blow::Term]) {
            Wanted::Down
        } else if any(&[Blow::Stop]) {
            Wanted::Stopped
        } else {
            Wanted::Up
        }
    }

    pub fn begin(&mut self, number: usize, blow: Blow) -> Vec<Step> {
        let before = self.wanted();
        if blow == Blow::Hup {
            return if before == Wanted::Down { Vec::new() } else { vec![Step::Hangup] };
        }
        self.active.push((number, blow));
        match (before, blow) {
            (Wanted::Down, _) => Vec::new(),
            (_, Blow::Kill) => vec![Step::Kill],
            // One that is stopped gets to know of it when it goes on.
            (Wanted::Stopped, Blow::Term) => vec![Step::Terminate, Step::Continue],
            (_, Blow::Term) => vec![Step::Terminate],
            (Wanted::Up, Blow::Stop) => vec![Step::Stop],
            _ => Vec::new(),
        }
    }

    pub fn end(&mut self, number: usize) -> Vec<Step> {
        let before = self.wanted();
        self.active.retain(|(held, _)| *held != number);
        match (before, self.wanted()) {
            (Wanted::Down, Wanted::Up) => vec![Step::Start],
            (Wanted::Down, Wanted::Stopped) => vec![Step::Start, Step::Stop],
            (Wanted::Stopped, Wanted::Up) => vec![Step::Continue],
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
    #[case::killed(&[Begin(1, Blow::Kill), End(1)], &[Step::Kill, Step::Start])]
    #[case::killed_twice(&[Begin(1, Blow::Kill), Begin(2, Blow::Kill), End(1), End(2)], &[Step::Kill, Step::Start])]
    #[case::killed_while_stopped(&[Begin(1, Blow::Stop), Begin(2, Blow::Kill), End(2), End(1)],
        &[Step::Stop, Step::Kill, Step::Start, Step::Stop, Step::Continue])]
    #[case::stopped_while_down(&[Begin(1, Blow::Kill), Begin(2, Blow::Stop), End(2), End(1)],
        &[Step::Kill, Step::Start])]
    #[case::stops_whose_ends_cross(&[Begin(1, Blow::Stop), Begin(2, Blow::Stop), End(1), End(2)],
        &[Step::Stop, Step::Continue])]
    #[case::terminated_while_stopped(&[Begin(1, Blow::Stop), Begin(2, Blow::Term), End(1), End(2)],
        &[Step::Stop, Step::Terminate, Step::Continue, Step::Start])]
    #[case::hung_up(&[Begin(1, Blow::Hup), Begin(2, Blow::Kill), Begin(3, Blow::Hup), End(2)],
        &[Step::Hangup, Step::Kill, Step::Start])]
    fn blows_overlap(#[case] turns: &[Turn], #[case] steps: &[Step]) {
        let mut blows = Blows::default();
        let taken: Vec<Step> = turns
            .iter()
            .flat_map(|turn| match turn {
                Begin(number, blow) => blows.begin(*number, *blow),
                End(number) => blows.end(*number),
            })
            .collect();
        assert_eq!(taken, steps);
        assert_eq!(blows.wanted(), Wanted::Up);
    }
}
