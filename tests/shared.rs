//! Shared state over real sockets: three gateways of a region agree on leases and spend a budget, and datagrams from unknown
//! senders and other fleets are dropped and counted.

use sagearch::interface::RetryBudget;
use sagearch::metrics::Metrics;
use sagearch::net::clock::Clock;
use sagearch::net::cluster::{self, ClusterNode, JoinConfig};
use sagearch_operators::{Anywhere, parse};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};

struct Member {
    metrics: Metrics,
    clock: Clock,
    budget: Box<dyn RetryBudget>,
    node: Arc<ClusterNode>,
}

/// Finds free addresses by binding them briefly, on a loopback address that only this process uses.
fn addresses(count: usize) -> Vec<SocketAddr> {
    let process_id = std::process::id();
    let ip = format!("127.{}.{}.7:0", 32 + process_id / 250 % 90, 1 + process_id % 250);
    let sockets: Vec<UdpSocket> = (0..count).map(|_| UdpSocket::bind(&ip).unwrap()).collect();
    sockets.iter().map(|socket| socket.local_addr().unwrap()).collect()
}

fn start(fleet: &str, addresses: &[SocketAddr], index: usize) -> Member {
    let members =
        addresses.iter().enumerate().map(|(index, address)| format!("member \"g{index}\" \"{address}\"\n"));
    let text = format!(
        "fleet \"{fleet}\" slices=16 lease=\"300ms\" {{\nregion \"east\" {{\n{}}}\nbudget \"origin\" amount=400 window=\"2s\" overdraft=50\n}}\n",
        members.collect::<String>()
    );
    let fleet = parse("fleet.kdl", &text, &Anywhere).unwrap().fleet.unwrap();
    let (metrics, clock) = (Metrics::default(), Clock::default());
    let config = JoinConfig {
        fleet: &fleet,
        name: &format!("g{index}"),
        listen: None,
        clock,
        incarnation: sagearch_homes::Incarnation(sagearch_clock::unix_micros()),
        seed: 7 + index as u64,
        counters: metrics.shared.clone(),
    };
    let joined = cluster::start(config).unwrap().unwrap();
    let mut budgets = joined.budgets;
    Member { metrics, clock, budget: budgets.remove(0), node: joined.node }
}

impl Member {
    fn metric(&self, name: &str) -> f64 {
        let text = self.metrics.text();
        let line = text.lines().find(|line| line.starts_with(name));
        line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0.0)
    }
}

fn wait_for(condition: &str, mut is_met: impl FnMut() -> bool) {
    let start = Instant::now();
    while !is_met() {
        assert!(start.elapsed() < Duration::from_secs(30), "timed out: {condition}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
#[expect(clippy::float_cmp, reason = "counts, which a float holds exactly")]
fn gateways_in_a_region_share_leases_and_a_budget_and_drop_unknown_senders() {
    let addresses = addresses(4);
    let mut members: Vec<Member> = (0..3).map(|index| start("edge", &addresses[..3], index)).collect();
    let held_leases = |members: &[Member]| {
        members.iter().map(|member| member.metric("sagearch_shared_homes ")).sum::<f64>()
    };
    wait_for("each slice has one lease holder", || {
        let each_holds_leases = members.iter().all(|member| member.metric("sagearch_shared_homes ") >= 1.0);
        each_holds_leases && held_leases(&members) == 16.0
    });
    // Each gateway can pay for calls announced in advance, as retries are, even where it does not hold the lease.
    for member in &mut members {
        wait_for("the gateway spends granted quota", || {
            let now = member.clock.now();
            member.budget.expect(now, now + 20_000);
            std::thread::sleep(Duration::from_millis(30));
            member.budget.tick(member.clock.now());
            member.budget.spend(member.clock.now());
            member.metric("sagearch_shared_spent_total{what=\"leased\"}") >= 3.0
        });
    }
    let unknown_sender = UdpSocket::bind(addresses[3]).unwrap();
    unknown_sender.send_to(b"hello", addresses[0]).unwrap();
    wait_for("the datagram of an unknown sender is counted", || {
        members[0].metric("sagearch_shared_dropped_total{what=\"stranger\"}") >= 1.0
    });
    // When a gateway leaves, the remaining ones acquire the leases on its slices.
    let leaving = members.pop().unwrap();
    leaving.node.request_leave();
    wait_for("two gateways hold all leases", || held_leases(&members) == 16.0);
}

#[test]
#[expect(clippy::float_cmp, reason = "counts, which a float holds exactly")]
fn datagrams_of_another_fleet_are_dropped() {
    let addresses = addresses(2);
    let gateway = start("edge", &addresses, 0);
    let _other = start("core", &addresses, 1);
    wait_for("the datagrams of the other fleet are counted", || {
        gateway.metric("sagearch_shared_dropped_total{what=\"other_fleet\"}") >= 2.0
    });
    assert_eq!(gateway.metric("sagearch_shared_members "), 0.0);
    assert_eq!(gateway.metric("sagearch_shared_homes "), 0.0, "one of two voters is not a majority");
}
