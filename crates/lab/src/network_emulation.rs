//! Emulates a network: when what came at one end of a link leaves at the other, and what is changed or lost.
//!
//! Bytes keep their order whatever jitter is drawn, as on a connection of TCP; datagrams need not.

use crate::link_condition::LinkCondition;
use rand::Rng;
use std::time::Duration;

/// How late a datagram is that others overtake.
const REORDERING_DELAY: Duration = Duration::from_millis(30);

fn draw_up_to(max: Duration, random: &mut impl Rng) -> Duration {
    max.mul_f64(random.random::<f64>())
}

/// The chunks of one direction of one connection.
#[derive(Clone, Debug, Default)]
pub struct LinkQueue {
    /// When the chunk before has left.
    last: Duration,
}

impl LinkQueue {
    /// When a chunk leaves that has arrived at a time, all times from one start. To be called once for each chunk, in
    /// their order.
    pub fn departure(
        &mut self,
        arrival: Duration,
        bytes: usize,
        link: &LinkCondition,
        random: &mut impl Rng,
    ) -> Duration {
        let ready = (arrival + link.delay + draw_up_to(link.jitter, random)).max(self.last);
        // The line is busy for as long as the chunk takes on it.
        let takes = link.rate.map_or(0.0, |rate| bytes as f64 / rate.max(1.0));
        self.last = ready + Duration::from_secs_f64(takes);
        self.last
    }
}

/// Flips one bit of a chunk, by the link's chance; says whether it did.
pub fn flip_bit(chunk: &mut [u8], link: &LinkCondition, random: &mut impl Rng) -> bool {
    if chunk.is_empty() || random.random::<f64>() >= link.corrupt {
        return false;
    }
    let at = random.random_range(0..chunk.len());
    chunk[at] ^= 1 << random.random_range(0..8);
    true
}

/// After how long the copies of one datagram arrive: none if it is lost, two if it is duplicated.
pub fn datagram_delays(link: &LinkCondition, random: &mut impl Rng) -> Vec<Duration> {
    if !link.accepts_connections() || link.reset || link.stalled || random.random::<f64>() < link.loss {
        return Vec::new();
    }
    let copies = 1 + usize::from(random.random::<f64>() < link.duplicate);
    let mut after = Vec::with_capacity(copies);
    for _ in 0..copies {
        let reordering =
            if random.random::<f64>() < link.reorder { REORDERING_DELAY } else { Duration::ZERO };
        after.push(link.delay + draw_up_to(link.jitter, random) + reordering);
    }
    after
}

#[cfg(test)]
mod tests;
