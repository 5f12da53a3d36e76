//! The ledger: one account for each budget, with its bank while this gateway is the budget's home.

use sagearch_homes::message::Sender;
use sagearch_homes::placement::mix;
use sagearch_homes::{Claim, Epoch, Micros, Region, Slice};
use sagearch_ledger::{Amount, Bank, Tally, Terms, UNIT};
use std::collections::BTreeMap;

/// What was asked of another region.
#[derive(Clone, Copy)]
struct PendingLoan {
    number: u32,
    sent: Micros,
    claim: Claim,
}

/// A budget at its home, and what is known of what others have handed out.
pub struct BudgetAccount {
    pub name: String,
    pub slice: Slice,
    pub terms: Terms,
    pub federated: bool,
    bank: Option<(Epoch, Bank)>,
    tally: Tally,
    /// By region, the latest.
    loan_requests: BTreeMap<Region, PendingLoan>,
    number: u32,
    next_loan: Micros,
}

impl BudgetAccount {
    pub fn new(name: String, slice: Slice, terms: Terms, federated: bool) -> BudgetAccount {
        BudgetAccount {
            name,
            slice,
            terms,
            federated,
            bank: None,
            tally: Tally::default(),
            loan_requests: BTreeMap::new(),
            number: 0,
            next_loan: 0,
        }
    }

    /// The bank of a tenure; one of before hands out nothing any more.
    pub fn bank(&mut self, epoch: Epoch, now: Micros) -> &mut Bank {
        if self.bank.as_ref().is_none_or(|(of, _)| *of != epoch) {
            self.bank = None;
        }
        &mut self.bank.get_or_insert_with(|| (epoch, Bank::new(self.terms, now))).1
    }

    /// A tenure begins: with an empty bank.
    pub fn open(&mut self, epoch: Epoch, now: Micros) {
        self.bank = Some((epoch, Bank::new(self.terms, now)));
    }

    /// The tenure is over.
    pub fn close(&mut self) {
        self.bank = None;
    }

    /// The rate that is lacking here and is to be asked of others now, with all that was handed out.
    pub fn lacking(&mut self, now: Micros) -> Option<(Amount, Amount)> {
        let (_, bank) = self.bank.as_mut().filter(|_| now >= self.next_loan)?;
        let lacking = bank.demand(now).saturating_sub(self.terms.rate);
        if lacking < UNIT {
            return None;
        }
        let issued = bank.issued();
        self.next_loan = now + self.terms.grant_lifetime / 2;
        Some((lacking, issued))
    }

    /// The number of a new request to a region, which takes the place of the one before.
    pub fn request_loan(&mut self, region: Region, claim: Claim, now: Micros) -> u32 {
        self.number = self.number.wrapping_add(1);
        let number = self.number;
        self.loan_requests.insert(region, PendingLoan { number, sent: now, claim });
        number
    }

    /// When the latest request to a region was sent, if it had this number and was made under this claim.
    pub fn loan_requested(&self, region: Region, number: u32, claim: Claim) -> Option<Micros> {
        let request = self.loan_requests.get(&region)?;
        (request.number == number && request.claim == claim).then_some(request.sent)
    }

    /// Takes in what a borrower, by its claim, has handed out in all.
    pub fn record_borrower(&mut self, claim: &Claim, issued: Amount) {
        self.tally.record((claim.term, claim.region.0, claim.incarnation), issued);
    }

    /// Takes in what a lender has handed out in all.
    pub fn record_lender(&mut self, region: Region, lender: Sender, issued: Amount) {
        self.tally.record((0, region.0, lender.incarnation), issued);
    }
}

/// A claim as a lender tells borrowers apart.
pub fn borrower(claim: &Claim) -> u64 {
    [claim.term, u64::from(claim.region.0), claim.epoch, claim.incarnation]
        .into_iter()
        .fold(0, |all, part| mix(all ^ part))
}
