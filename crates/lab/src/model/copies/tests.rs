use super::*;

fn key(name: &str) -> Key {
    (name.into(), String::new())
}

fn copy(made: Micros) -> Copy {
    Copy { made, version: 0 }
}

#[test]
fn the_least_rank_used_longest_ago_makes_room() {
    let mut copies = Copies::new(3);
    copies.keep(key("a"), copy(1), 1);
    copies.keep(key("b"), copy(1), 0);
    copies.keep(key("c"), copy(1), 0);
    copies.get(&key("b"));
    copies.keep(key("d"), copy(1), 0);
    assert!(copies.get(&key("c")).is_none() && copies.get(&key("a")).is_some());
    copies.keep(key("e"), copy(1), 0);
    assert!(copies.get(&key("b")).is_none() && copies.len() == 3);
}

#[test]
fn an_older_answer_takes_no_newer_ones_place() {
    let mut copies = Copies::new(3);
    copies.keep(key("a"), copy(5), 0);
    copies.keep(key("a"), copy(3), 0);
    assert_eq!(copies.get(&key("a")).unwrap().made, 5);
    copies.void(|_, copy| copy.made < 6);
    assert!(copies.is_empty());
}
