//! What clients ask for and when, drawn before the run: an open loop, so that a slow answer delays no request.

use crate::scenario::Load;
use crate::trace::{Effect, Micros};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use rand_pcg::Pcg64Mcg;

/// The classes of the laboratory's own deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Parts of objects that caches keep.
    Segment,
    /// Carries a key: it may be sent again.
    Submit,
    /// Must never run twice.
    Pay,
}

impl Class {
    /// All classes.
    pub const ALL: [Class; 3] = [Class::Segment, Class::Submit, Class::Pay];

    /// As gateways name it.
    pub fn name(self) -> &'static str {
        match self {
            Class::Segment => "segment",
            Class::Submit => "submit",
            Class::Pay => "pay",
        }
    }

    /// The class of a name.
    pub fn named(name: &str) -> Option<Class> {
        Class::ALL.into_iter().find(|class| class.name() == name)
    }

    /// How it may be sent again.
    pub fn effect(self) -> Effect {
        match self {
            Class::Segment => Effect::Free,
            Class::Submit => Effect::Keyed,
            Class::Pay => Effect::Once,
        }
    }

    /// How old a copy may be. `None`: it runs at the origin each time.
    pub fn fresh(self) -> Option<Micros> {
        (self == Class::Segment).then_some(30_000_000)
    }
}

/// A request that a client wants.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it is to be asked, from the load's begin.
    pub at: Micros,
    /// The place of its site.
    pub site: usize,
    /// Drawn once a session: by it clients stay with a gateway.
    pub client: u64,
    /// How it may be sent again and kept.
    pub class: Class,
    /// Which object it is about.
    pub object: String,
    /// Which part of it, from 1.
    pub part: u32,
}

/// Between two parts of one object.
const NEXT_PART: Micros = 200_000;

/// A whole number's bits, mixed (the finalizer of `SplitMix64`).
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// An object's name; its last two digits are its group.
fn object_name(number: u64) -> String {
    format!("{:016x}", mix(number.wrapping_add(1)))
}

/// All requests of a run, by their times. `sites`: how much of the load comes from each.
///
/// # Panics
///
/// Of a load whose rate or skew the schema does not allow.
pub fn draw(load: &Load, sites: &[f64], lasts: Micros, seed: u64) -> Vec<Arrival> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let total: f64 = sites.iter().sum();
    if total <= 0.0 {
        return Vec::new();
    }
    // A session asks for all parts of an object, so sessions are fewer than requests.
    let single = load.once + load.writes + load.payments;
    let mean = single + (1.0 - single) * load.parts as f64;
    let gaps = Exp::new(load.rate / mean / 1e6).expect("the schema takes rates over 0 alone");
    let ranks = Zipf::new(load.objects.max(1) as f64, load.skew).expect("the schema bounds both");
    let (mut all, mut now, mut fresh) = (Vec::new(), 0.0, 1_u64 << 40);
    loop {
        now += gaps.sample(&mut random);
        if now >= lasts as f64 {
            break;
        }
        let at = now as Micros;
        let mut from = random.random::<f64>() * total;
        let site = sites.iter().position(|share| {
            from -= share;
            from < 0.0
        });
        let (site, client) = (site.unwrap_or(sites.len() - 1), random.random());
        let draws: f64 = random.random();
        let one = |class, number| Arrival { at, site, client, class, object: object_name(number), part: 1 };
        fresh += 1;
        if draws < load.payments {
            all.push(one(Class::Pay, fresh));
        } else if draws < load.payments + load.writes {
            all.push(one(Class::Submit, fresh));
        } else if draws < single {
            all.push(one(Class::Segment, fresh));
        } else {
            // The most wanted objects make place for others as time goes by.
            let turns = at / (load.drift.as_micros() as Micros).max(1);
            let rank = ranks.sample(&mut random) as u64 + turns * (load.objects as u64 / 10).max(1);
            for part in 0..load.parts as u32 {
                let at = at + Micros::from(part) * NEXT_PART;
                let first = one(Class::Segment, rank % load.objects as u64);
                all.push(Arrival { at, part: part + 1, ..first });
            }
        }
    }
    all.retain(|arrival| arrival.at < lasts);
    all.sort_by_key(|arrival| arrival.at);
    all
}

#[cfg(test)]
mod tests;
