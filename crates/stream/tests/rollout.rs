//! Rollout stages and their decisions.

use rstest::rstest;
use sagearch_stream::rollout::{Decision, Plan, RollbackCause, Rollout, StageHealth, rank};

fn plan() -> Plan {
    Plan {
        stages: vec![10, 100],
        soak_ms: 100,
        stage_timeout_ms: 1_000,
        max_nacks: 1,
        max_failure_rise_permille: 20,
        min_requests: 50,
    }
}

#[rstest]
#[case::incomplete(StageHealth { gateways: 3, updated: 2, ..StageHealth::default() }, 10, Decision::Wait)]
#[case::soaking(StageHealth { gateways: 3, updated: 3, ..StageHealth::default() }, 10, Decision::Wait)]
#[case::timed_out(StageHealth { gateways: 3, updated: 2, ..StageHealth::default() }, 1_000, Decision::RollBack(RollbackCause::StageTimedOut { updated: 2, gateways: 3 }))]
#[case::allowed_nack(StageHealth { gateways: 3, updated: 2, nacks: 1, ..StageHealth::default() }, 10, Decision::Wait)]
#[case::too_many_nacks(StageHealth { gateways: 3, nacks: 2, ..StageHealth::default() }, 10, Decision::RollBack(RollbackCause::Nacks { nacks: 2 }))]
#[case::failure_rate(StageHealth { gateways: 1, updated: 1, requests: 100, failed: 13, requests_before: 100, failed_before: 10, ..StageHealth::default() }, 10,
    Decision::RollBack(RollbackCause::FailureRise { failed_percent: 13.0, failed_percent_before: 10.0 }))]
#[case::within_the_rise(StageHealth { gateways: 1, updated: 1, requests: 100, failed: 12, requests_before: 100, failed_before: 10, ..StageHealth::default() }, 10, Decision::Wait)]
#[case::too_few_requests(StageHealth { gateways: 1, updated: 1, requests: 49, failed: 49, ..StageHealth::default() }, 10, Decision::Wait)]
fn evaluation_of_stage_health_returns_the_decision(
    #[case] health: StageHealth,
    #[case] now: u64,
    #[case] expected: Decision,
) {
    assert_eq!(Rollout::new(plan(), 0).evaluate(health, now), expected);
}

#[rstest]
#[case::nacks(RollbackCause::Nacks { nacks: 2 }, "2 gateways have turned it down")]
#[case::failure_rise(RollbackCause::FailureRise { failed_percent: 13.0, failed_percent_before: 10.0 }, "13.0% of requests fail, 10.0% did before")]
#[case::timeout(RollbackCause::StageTimedOut { updated: 2, gateways: 3 }, "only 2 of 3 gateways have it in time")]
fn rollback_cause_is_formatted_as_stored(#[case] cause: RollbackCause, #[case] text: &str) {
    assert_eq!(cause.to_string(), text);
}

#[test]
fn rollout_of_healthy_gateways_advances_through_stages_until_complete() {
    let healthy = StageHealth { gateways: 3, updated: 3, ..StageHealth::default() };
    let mut rollout = Rollout::new(plan(), 0);
    assert_eq!(rollout.evaluate(healthy, 50), Decision::Wait);
    assert_eq!(rollout.evaluate(healthy, 150), Decision::NextStage);
    assert_eq!((rollout.percentage(), rollout.evaluate(healthy, 200)), (100, Decision::Wait));
    assert_eq!(rollout.evaluate(healthy, 300), Decision::Complete);
    let names: Vec<String> = (0..10_000).map(|index| format!("gateway-{index}")).collect();
    let first_stage = names.iter().filter(|name| rank(name) < 10).count();
    assert!((850..1_150).contains(&first_stage), "{first_stage} of 10,000 gateways in the first stage");
    for stages in [vec![], vec![50], vec![0, 100], vec![50, 50, 100], vec![60, 40, 100]] {
        assert!(Plan { stages, ..plan() }.validate().is_err());
    }
}
