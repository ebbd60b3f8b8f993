//! Accounting of memory, and the order in which holders are shed.

use super::*;
use futures_lite::future::{block_on, pending, poll_once, zip};
use std::pin::pin;

#[test]
fn shares_are_returned_to_the_budget() {
    let budget = MemoryBudget::new(100, 0);
    let (mut first, mut second) = (BudgetShare::new(&budget), BudgetShare::new(&budget));
    block_on(async {
        assert!(first.grow(60).await.is_ok() && second.grow(60).await.is_err());
        drop(second);
        assert!(first.grow(40).await.is_ok() && budget.used() == 100);
    });
    drop(first);
    assert_eq!(budget.used(), 0);
}

/// Guards against a bad client that keeps memory from others: the holder that began first is shed, and only as many as needed.
#[test]
fn the_holder_that_began_first_is_shed() {
    let budget = MemoryBudget::new(100, 0);
    let holder = || async {
        let mut share = BudgetShare::new(&budget);
        share.grow(50).await.unwrap();
        pending::<()>().await;
    };
    block_on(async {
        let mut first = pin!(budget.hold(holder()));
        let mut second = pin!(budget.hold(holder()));
        assert!(poll_once(first.as_mut()).await.is_none());
        assert!(poll_once(second.as_mut()).await.is_none());
        let mut share = BudgetShare::new(&budget);
        let (shed, grown) = zip(first, share.grow(30)).await;
        assert_eq!((shed, grown), (None, Ok(())));
        assert!(poll_once(second.as_mut()).await.is_none());
        assert_eq!((budget.used(), budget.shed()), (80, 1));
    });
}

/// Guards against an answer that fails for want of memory although it is small.
#[test]
fn a_small_share_is_granted_although_the_budget_is_used_up() {
    let budget = MemoryBudget::new(100, 10);
    let (mut large, mut small) = (BudgetShare::new(&budget), BudgetShare::new(&budget));
    large.resize(200);
    block_on(async {
        assert_eq!(large.granted().await, Err(BudgetExhausted));
        assert_eq!(small.grow(10).await, Ok(()));
        assert_eq!(small.granted().await, Ok(()));
        assert_eq!(small.grow(1).await, Err(BudgetExhausted));
    });
}
