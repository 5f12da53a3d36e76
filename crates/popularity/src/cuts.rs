//! From which score on a copy earns its place at a kind of cache: by the room there in bytes, and by what keeping it is worth
//! for the bytes that it takes.

/// An object as it is asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Item {
    /// Requests for it while a copy lasts.
    pub score: f64,
    pub bytes: f64,
    /// What a request for it saves if a copy is there, by the settings' worths and prices.
    pub saves: f64,
}

impl Item {
    /// What a byte of it earns.
    pub fn density(&self) -> f64 {
        self.score * self.saves / self.bytes.max(1.0)
    }
}

/// A kind of cache: what it has room for, and which share of all objects is its own by the shared hash.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    pub bytes: f64,
    pub share: f64,
}

/// Parts of the room that the top rank, it and the middle one, and all three may take. Some is left: what is new has to come in
/// before anyone knows what it is worth.
const PARTS: [f64; 3] = [0.5, 0.75, 0.9];

/// For each kind, the densities from which a copy earns the top, the middle and the low rank; what is under the last is passed
/// through unkept. Where all fits, all is kept at the top.
pub fn cuts(items: &[Item], rooms: &[Room]) -> Vec<[f64; 3]> {
    let mut order: Vec<(f64, f64)> = items.iter().map(|item| (item.density(), item.bytes.max(1.0))).collect();
    order.sort_by(|one, other| other.0.total_cmp(&one.0));
    let of = |room: &Room| {
        PARTS.map(|part| {
            let (mut taken, room_for) = (0.0, room.bytes * part);
            // The first that does not fit any more is over the cut.
            let over = order.iter().find(|(_, bytes)| {
                taken += bytes * room.share;
                taken > room_for
            });
            over.map_or(0.0, |(density, _)| density.next_up())
        })
    };
    rooms.iter().map(of).collect()
}

/// The rank at which a copy is kept: 3 top, 2 middle, 1 low, 0 not.
pub fn rank(item: &Item, cuts: &[f64; 3]) -> u8 {
    let density = item.density();
    3 - cuts.iter().take_while(|cut| density < **cut).count() as u8
}

#[cfg(test)]
mod tests {
    use super::*;

    fn items() -> Vec<Item> {
        (1..=100).map(|at| Item { score: 1_000.0 / f64::from(at), bytes: 10.0, saves: 1.0 }).collect()
    }

    fn kept(items: &[Item], cuts: &[f64; 3], from: u8) -> f64 {
        items.iter().filter(|item| rank(item, cuts) >= from).map(|item| item.bytes).sum()
    }

    #[test]
    fn small_caches_have_higher_cuts_and_none_is_given_more_than_it_holds() {
        let items = items();
        let rooms = [
            Room { bytes: 100.0, share: 0.5 },
            Room { bytes: 800.0, share: 0.5 },
            Room { bytes: 2_000.0, share: 1.0 },
        ];
        let all = cuts(&items, &rooms);
        assert!(all[0].iter().zip(&all[1]).all(|(small, large)| small >= large));
        for (room, cuts) in rooms.iter().zip(&all) {
            assert!(cuts[0] >= cuts[1] && cuts[1] >= cuts[2]);
            assert!(kept(&items, cuts, 1) * room.share <= room.bytes * 0.9);
            assert!(kept(&items, cuts, 3) * room.share <= room.bytes * 0.5);
        }
        assert_eq!(kept(&items, &all[2], 3), 1_000.0, "all fits");
    }

    #[test]
    fn a_large_object_has_to_earn_its_bytes_and_a_dear_one_may_be_large() {
        let small = Item { score: 10.0, bytes: 10.0, saves: 1.0 };
        let large = Item { bytes: 160.0, ..small };
        let dear = Item { saves: 16.0, ..large };
        let room = Room { bytes: 12.0, share: 1.0 };
        let cuts = cuts(&[small, large], &[room])[0];
        assert_eq!((rank(&small, &cuts), rank(&large, &cuts), rank(&dear, &cuts)), (1, 0, 1));
    }
}
