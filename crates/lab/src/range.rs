//! Figures of a scenario that may be ranges, out of which a seed draws one.

use rand::Rng;
use sagearch_operators::check::{self, Read};
use sagearch_operators::schema::Kind;
use std::time::Duration;

/// Both ends are part of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range<T> {
    pub least: T,
    pub most: T,
}

fn ends<T: PartialOrd>(text: &str, read: impl Fn(&str) -> Result<T, String>) -> Result<Range<T>, String> {
    let (least, most) = text.split_once("..").unwrap_or((text, text));
    let range = Range { least: read(least.trim())?, most: read(most.trim())? };
    if range.least <= range.most { Ok(range) } else { Err(format!("{text:?} ends before it begins")) }
}

impl Range<Duration> {
    /// `250ms` or `1s..3s`
    pub fn of_times(text: &str) -> Result<Self, String> {
        let longest = 24 * 3_600_000;
        ends(text, |end| match check::default(end, Kind::Span(0, longest), "a time")? {
            Read::Millis(millis) => Ok(Duration::from_millis(millis)),
            _ => Err(format!("{end:?} is no time")),
        })
    }

    pub fn draw(&self, random: &mut impl Rng) -> Duration {
        let (least, most) = (self.least.as_micros() as u64, self.most.as_micros() as u64);
        Duration::from_micros(random.random_range(least..=most))
    }
}

impl Range<f64> {
    /// `2%` or `1%..5%`, as a share of 1
    pub fn of_shares(text: &str) -> Result<Self, String> {
        ends(text, |end| {
            let share = end.strip_suffix('%').and_then(|number| number.trim().parse::<f64>().ok());
            let share = share.filter(|share| (0.0..=100.0).contains(share));
            share.map(|share| share / 100.0).ok_or_else(|| format!("{end:?} is no share like \"2%\""))
        })
    }

    /// `20kB` or `10kB..1MB`, in bytes
    pub fn of_bytes(text: &str) -> Result<Self, String> {
        const UNITS: [(&str, f64); 3] = [("MB", 1e6), ("kB", 1e3), ("B", 1.0)];
        ends(text, |end| {
            let unit = UNITS.iter().find_map(|(unit, bytes)| Some((end.strip_suffix(unit)?, *bytes)));
            let read = unit.and_then(|(number, bytes)| Some(number.trim().parse::<f64>().ok()? * bytes));
            let read = read.filter(|bytes| *bytes >= 1.0 && bytes.is_finite());
            read.ok_or_else(|| format!("{end:?} is no number of bytes like \"20kB\""))
        })
    }

    pub fn draw(&self, random: &mut impl Rng) -> f64 {
        random.random_range(self.least..=self.most)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;
    use rstest::rstest;

    #[rstest]
    #[case("250ms", 250, 250)]
    #[case("1s..3s", 1_000, 3_000)]
    fn times_are_read(#[case] text: &str, #[case] least: u64, #[case] most: u64) {
        let ms = Duration::from_millis;
        let range = Range::of_times(text).unwrap();
        assert_eq!(range, Range { least: ms(least), most: ms(most) });
        let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(1);
        assert!((0..100).all(|_| (ms(least)..=ms(most)).contains(&range.draw(&mut random))));
    }

    #[rstest]
    #[case::turned(Range::of_times("3s..1s").map(drop), "ends before it begins")]
    #[case::unit(Range::of_times("3").map(drop), "no time like")]
    #[case::over(Range::of_shares("120%").map(drop), "no share like")]
    #[case::bare(Range::of_shares("0.5").map(drop), "no share like")]
    #[case::none(Range::of_bytes("0B").map(drop), "no number of bytes")]
    #[case::word(Range::of_bytes("fast").map(drop), "no number of bytes")]
    fn faults_are_told(#[case] read: Result<(), String>, #[case] says: &str) {
        let told = read.unwrap_err();
        assert!(told.contains(says), "{told}");
    }

    #[test]
    fn shares_and_bytes_are_read() {
        assert_eq!(Range::of_shares("1%..5%").unwrap(), Range { least: 0.01, most: 0.05 });
        assert_eq!(Range::of_bytes("10kB..1.5MB").unwrap(), Range { least: 10_000.0, most: 1_500_000.0 });
    }
}
