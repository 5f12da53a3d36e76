//! A cache that has just started bears little, and falls over where it is sent far more for long.

use super::Micros;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// The share of its slots that it has as it starts.
    pub floor: f64,
    pub warm_up: Micros,
    /// It falls where what comes is so many times what it bears …
    pub multiple: f64,
    /// … for so long.
    pub window: Micros,
}

impl ColdRule {
    /// The share of its slots that it has this long after its start.
    pub fn warmth(&self, age: Micros) -> f64 {
        let grown = age as f64 / self.warm_up.max(1) as f64;
        (self.floor + (1.0 - self.floor) * grown).min(1.0)
    }
}

/// How much comes to a cache, in slots' worth of work, over pieces of the window.
#[derive(Clone, Debug, Default)]
pub struct Heat {
    /// The piece of the window that is filling, by its number.
    piece: u64,
    work: Micros,
    /// Whole pieces in a row in which too much came.
    over: u64,
}

/// Pieces of a window.
const PIECES: u64 = 10;

impl Heat {
    /// Takes in work that comes, and says whether the cache falls of it. `slots` is what it has when warm.
    pub fn comes(&mut self, now: Micros, age: Micros, work: Micros, slots: usize, rule: &ColdRule) -> bool {
        let length = (rule.window / PIECES).max(1);
        let piece = now / length;
        if piece != self.piece {
            let bears = rule.warmth(age) * slots as f64 * length as f64;
            let over = self.work as f64 > rule.multiple * bears && rule.warmth(age) < 1.0;
            // A piece in which nothing came breaks the row, too.
            self.over = if over && (piece == self.piece + 1 || self.over == 0) { self.over + 1 } else { 0 };
            (self.piece, self.work) = (piece, 0);
        }
        self.work += work;
        self.over >= PIECES
    }
}

#[cfg(test)]
mod tests;
