use super::*;

/// The failure detectors of five members, and the messages in flight between them.
struct SimulatedRegion {
    detectors: Vec<Option<FailureDetector>>,
    in_flight: Vec<GossipMessage>,
}

impl SimulatedRegion {
    fn start(&mut self, member: u16, now: Micros) {
        let others = (0..5).filter(|other| *other != member).map(Member).collect();
        let seed = u64::from(member) * 7_919 + now;
        self.detectors[usize::from(member)] =
            Some(FailureDetector::new(Member(member), Incarnation(now + 1), others, seed, now));
    }

    fn run(&mut self, from: Micros, to: Micros) {
        for now in (from..to).step_by(10_000) {
            for GossipMessage { to, bytes } in std::mem::take(&mut self.in_flight) {
                assert!(bytes.len() <= MAX_GOSSIP_BYTES);
                if let Some(detector) = &mut self.detectors[usize::from(to.0)] {
                    detector.receive(now, &bytes, &mut self.in_flight);
                }
            }
            self.detectors.iter_mut().flatten().for_each(|detector| detector.tick(now, &mut self.in_flight));
        }
    }

    fn alive_counts(&self) -> Vec<usize> {
        self.detectors.iter().flatten().map(|detector| detector.members().len()).collect()
    }
}

#[test]
fn members_that_join_die_or_return_are_detected() {
    let mut region = SimulatedRegion { detectors: (0..5).map(|_| None).collect(), in_flight: Vec::new() };
    (0..5).for_each(|member| region.start(member, 0));
    region.run(0, 3_000_000);
    assert_eq!(region.alive_counts(), [4; 5]);
    region.detectors[2] = None;
    region.run(3_000_000, 12_000_000);
    assert_eq!(region.alive_counts(), [3; 4]);
    region.start(2, 12_000_000);
    region.run(12_000_000, 18_000_000);
    assert_eq!(region.alive_counts(), [4; 5]);
}
