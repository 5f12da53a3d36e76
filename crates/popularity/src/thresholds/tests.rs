// The compared values are sums of a few binary fractions and therefore exact.
#![allow(clippy::float_cmp)]

use super::*;

fn objects() -> Vec<ObjectStats> {
    (1..=100).map(|rank| ObjectStats { score: 1_000.0 / f64::from(rank), bytes: 10.0, saving: 1.0 }).collect()
}

/// The size of all objects that are cached at `lowest` rank or above.
fn cached_bytes(objects: &[ObjectStats], thresholds: &RankThresholds, lowest: CacheRank) -> f64 {
    objects.iter().filter(|object| thresholds.rank(object) >= lowest).map(|object| object.bytes).sum()
}

#[test]
fn smaller_cache_has_higher_thresholds_and_no_cache_exceeds_its_capacity() {
    let objects = objects();
    let caches = [
        CacheCapacity { bytes: 100.0, share: 0.5 },
        CacheCapacity { bytes: 800.0, share: 0.5 },
        CacheCapacity { bytes: 2_000.0, share: 1.0 },
    ];
    let thresholds_by_cache = rank_thresholds(&objects, &caches);
    assert!(
        thresholds_by_cache[0].top >= thresholds_by_cache[1].top
            && thresholds_by_cache[0].middle >= thresholds_by_cache[1].middle
            && thresholds_by_cache[0].low >= thresholds_by_cache[1].low
    );
    for (cache, thresholds) in caches.iter().zip(&thresholds_by_cache) {
        assert!(thresholds.top >= thresholds.middle && thresholds.middle >= thresholds.low);
        assert!(cached_bytes(&objects, thresholds, CacheRank::Low) * cache.share <= cache.bytes * 0.9);
        assert!(cached_bytes(&objects, thresholds, CacheRank::Top) * cache.share <= cache.bytes * 0.5);
    }
    assert_eq!(
        cached_bytes(&objects, &thresholds_by_cache[2], CacheRank::Top),
        1_000.0,
        "all objects fit into the top rank"
    );
}

#[test]
fn large_object_is_cached_only_with_a_higher_saving() {
    let small = ObjectStats { score: 10.0, bytes: 10.0, saving: 1.0 };
    let large = ObjectStats { bytes: 160.0, ..small };
    let large_with_high_saving = ObjectStats { saving: 16.0, ..large };
    let cache = CacheCapacity { bytes: 12.0, share: 1.0 };
    let thresholds = rank_thresholds(&[small, large], &[cache])[0];
    assert_eq!(
        [small, large, large_with_high_saving].map(|object| thresholds.rank(&object)),
        [CacheRank::Low, CacheRank::Uncached, CacheRank::Low]
    );
}
