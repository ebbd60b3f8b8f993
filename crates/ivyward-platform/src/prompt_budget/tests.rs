//! Accounting of the memory of prompts.

use super::*;

#[test]
fn shares_are_returned_to_the_budget() {
    let budget = PromptBudget::new(100);
    let (mut first, mut second) = (BudgetShare::new(&budget), BudgetShare::new(&budget));
    assert!(first.grow(60) && !second.grow(60));
    drop(second);
    assert!(first.grow(40) && budget.used() == 100);
    drop(first);
    assert_eq!(budget.used(), 0);
}
