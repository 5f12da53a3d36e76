//! Thresholds at which a copy is cached at each rank of a kind of cache, determined by the capacity of the cache and
//! the benefit of a copy per byte.

/// Popularity, size and benefit of an object.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObjectStats {
    /// The number of requests for the object during the lifetime of a copy.
    pub score: f64,
    /// The size of a copy in bytes.
    pub bytes: f64,
    /// The cost saved per request if a copy is cached, according to the configured priority weights and costs.
    pub saving: f64,
}

impl ObjectStats {
    /// The benefit of a copy per byte.
    pub fn density(&self) -> f64 {
        self.score * self.saving / self.size()
    }

    fn size(&self) -> f64 {
        self.bytes.max(1.0)
    }
}

/// Capacity of a kind of cache.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CacheCapacity {
    /// The capacity of one cache in bytes.
    pub bytes: f64,
    /// The share of all objects that is assigned to one cache by hash.
    pub share: f64,
}

/// Rank at which a copy is cached; lower ranks are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CacheRank {
    /// Delivered without being cached.
    Uncached,
    /// Evicted first.
    Low,
    /// Evicted after copies of the low rank.
    Middle,
    /// Evicted last.
    Top,
}

/// Minimum densities (benefit per byte) at which a copy is cached at each rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankThresholds {
    /// The minimum density of the top rank.
    pub top: f64,
    /// The minimum density of the middle rank.
    pub middle: f64,
    /// The minimum density of the low rank; copies below it are not cached.
    pub low: f64,
}

impl RankThresholds {
    /// The rank of an object's copy.
    pub fn rank(&self, object: &ObjectStats) -> CacheRank {
        let density = object.density();
        if density >= self.top {
            CacheRank::Top
        } else if density >= self.middle {
            CacheRank::Middle
        } else if density >= self.low {
            CacheRank::Low
        } else {
            CacheRank::Uncached
        }
    }
}

/// Share of a cache's capacity for copies of the top rank.
const TOP_SHARE: f64 = 0.5;
/// Share of a cache's capacity for copies of the top and middle ranks.
const TOP_AND_MIDDLE_SHARE: f64 = 0.75;
/// Share of a cache's capacity for copies of all ranks. The remainder is for new objects, whose benefit is not yet
/// known.
const CACHED_SHARE: f64 = 0.9;

/// Determines the thresholds for each kind of cache, in the order of `caches`. If all objects fit into the share of the
/// top rank, all have that rank.
pub fn rank_thresholds(objects: &[ObjectStats], caches: &[CacheCapacity]) -> Vec<RankThresholds> {
    let mut by_density = objects.to_vec();
    by_density.sort_by(|left, right| right.density().total_cmp(&left.density()));
    let thresholds = |cache: &CacheCapacity| RankThresholds {
        top: threshold(&by_density, cache, TOP_SHARE),
        middle: threshold(&by_density, cache, TOP_AND_MIDDLE_SHARE),
        low: threshold(&by_density, cache, CACHED_SHARE),
    };
    caches.iter().map(thresholds).collect()
}

/// The lowest density for which all objects of at least that density fit into a share of a cache's capacity.
fn threshold(by_density: &[ObjectStats], cache: &CacheCapacity, capacity_share: f64) -> f64 {
    let available = cache.bytes * capacity_share;
    let mut used = 0.0;
    let first_excluded = by_density.iter().find(|object| {
        used += object.size() * cache.share;
        used > available
    });
    first_excluded.map_or(0.0, |object| object.density().next_up())
}

#[cfg(test)]
mod tests;
