use super::*;
use rstest::rstest;

const BUDGET: Budget =
    Budget { amount: Amount::calls(100), window: 10_000_000, overdraft: 250, reserve: 100 };

#[rstest]
#[case::overdraft_above_the_budget(1_001, 10, BudgetError::OverdraftTooLarge { overdraft: 1_001 })]
#[case::overdraft_too_small_for_the_drift(79, 10, BudgetError::OverdraftBelowDrift { drift: 10, minimum: 80 })]
fn unenforceable_budget_is_rejected_with_its_reason(
    #[case] overdraft: u64,
    #[case] drift: u64,
    #[case] error: BudgetError,
) {
    assert_eq!(Budget { overdraft, ..BUDGET }.parameters(10, drift), Err(error));
}

#[test]
fn budget_is_divided_between_allocator_and_reserves() {
    let expected = QuotaParameters {
        rate: Amount::calls(9),
        capacity: Amount::from_thousandths(6_250),
        grant_lifetime: 500_000,
        reserve_rate: Amount::from_thousandths(100),
        reserve_capacity: Amount::from_thousandths(625),
    };
    assert_eq!(BUDGET.parameters(10, 10), Ok(expected));
}
