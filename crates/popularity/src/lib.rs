//! Estimates the popularity of each object in a region in which each gateway sees only a few of the requests. The crate
//! does no I/O, reads no clock and starts no threads: times are passed in.
//!
//! Gateways count requests in [intervals](Interval) that have the same numbers everywhere ([`Counter`]) and report to
//! the lease holder of a slice. The lease holder adds each report once ([`Aggregator`]), periodically halves the
//! counts, and distributes the highest scores. A gateway uses these scores while they arrive, and returns to its own
//! counts within two intervals after they stop ([`RegionScores`]). The scores and sizes of objects and the capacities
//! of caches determine the [thresholds](rank_thresholds) at which a copy is cached at each rank.
//!
//! # Bounds
//!
//! - A score is never below the true sum of the received reports, and exceeds it by at most its stated error.
//! - Each error is at most the sum of all counts divided by the capacity of the table.
//! - A gateway that sends implausible counts raises the sum of all scores in an interval by at most the number of
//!   requests that one gateway may count in it.

#![warn(missing_docs)]

pub mod aggregator;
pub mod counter;
pub mod region_scores;
pub mod thresholds;

pub use aggregator::{Aggregator, AggregatorConfig, ReportOutcome, ReportSource, Score};
pub use counter::{Counter, KeyCount, Report};
pub use region_scores::RegionScores;
pub use thresholds::{CacheCapacity, CacheRank, ObjectStats, RankThresholds, rank_thresholds};

/// The number of an interval. Intervals are counted from the Unix epoch, so that they are the same at all gateways.
pub type Interval = u32;
