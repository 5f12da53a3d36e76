//! A budget's bank under load: all purses want more than there is, so each asks as often as it may. Datagrams are encoded
//! and read by the gateway's own code; sockets, locks and leases are left out.

use super::Failure;
use super::figure::{Figure, Load, Traffic, Unit};
use super::memory::growth_of;
use super::processor::Stopwatch;
use sagearch::net::shared::wire::{self, Body, GrantAuthority};
use sagearch_homes::Slice;
use sagearch_ledger::{Bank, Budget, Grant, GrantRequest, Micros, Purse, Terms, UNIT};

/// The defaults of a budget in the operators' file, with an amount of 1,000 calls.
const BUDGET: Budget = Budget { amount: 1_000 * UNIT, window: 10_000_000, overdraft: 250, floors: 50 };
const DRIFT: u64 = 10;
const STEP: Micros = 10_000;
const SETTLED: Micros = 2_000_000;
const MEASURED: Micros = 4_000_000;
/// Calls that a purse expects in each step: more than its part of any amount.
const EXPECTED: usize = 2;
const FLEET: u32 = 7;
const INCARNATION: u64 = 1_796_000_000_000_000;
const AUTHORITY: GrantAuthority = GrantAuthority { slice: Slice(200), epoch: INCARNATION, claim: None };

struct Market {
    bank: Bank,
    purses: Vec<Purse<Slice>>,
    processor: Stopwatch,
    incoming: Traffic,
    outgoing: Traffic,
    granted: u64,
}

impl Market {
    fn new(terms: Terms, purses: u64) -> Market {
        Market {
            bank: Bank::new(terms, 0),
            purses: (0..purses).map(|number| Purse::new(terms, INCARNATION + number, 0)).collect(),
            processor: Stopwatch::default(),
            incoming: Traffic::default(),
            outgoing: Traffic::default(),
            granted: 0,
        }
    }

    fn step(&mut self, now: Micros) -> Result<(), Failure> {
        let mut asks = Vec::new();
        for (number, purse) in self.purses.iter_mut().enumerate() {
            (0..EXPECTED).for_each(|_| purse.expect(now));
            purse.spend(now, |_| false);
            if let Some(request) = purse.request(now) {
                asks.push((number, encode(number, Body::GrantRequest { budget: 0, request })?));
            }
        }
        asks.iter().for_each(|(_, bytes)| self.incoming.add(bytes.len()));
        let bank = &mut self.bank;
        let answers = self.processor.time(|| answers(bank, now, &asks))?;
        for (number, grant, bytes) in answers {
            self.outgoing.add(bytes.len());
            self.granted += grant.amount;
            self.purses[number].receive(now, grant, AUTHORITY.slice);
        }
        Ok(())
    }
}

/// The bank's own work: read, decide, encode.
fn answers(
    bank: &mut Bank,
    now: Micros,
    asks: &[(usize, Vec<u8>)],
) -> Result<Vec<(usize, Grant, Vec<u8>)>, Failure> {
    let mut answers = Vec::new();
    for (number, bytes) in asks {
        let ask = ask_in(bytes)?;
        let asker = (*number as u16, INCARNATION + *number as u64);
        if let Some(grant) = bank.grant(now, asker, ask) {
            let answer = encode(0, Body::Grant { budget: 0, authority: AUTHORITY, grant })?;
            answers.push((*number, grant, answer));
        }
    }
    Ok(answers)
}

fn ask_in(bytes: &[u8]) -> Result<GrantRequest, Failure> {
    match wire::decode(FLEET, bytes).map_err(|e| Failure::Refused(e.label().into()))?.body {
        Body::GrantRequest { request, .. } => Ok(request),
        _ => Err(Failure::NotReached("an ask is read as one")),
    }
}

fn encode(from: usize, body: Body) -> Result<Vec<u8>, Failure> {
    wire::encode(FLEET, INCARNATION + from as u64, body).map_err(|e| Failure::Refused(e.label().into()))
}

/// Figures are of the bank.
pub fn ask(purses: u64) -> Result<Vec<Figure>, Failure> {
    let terms = BUDGET.terms(purses, DRIFT).map_err(Failure::Refused)?;
    let mut market = Market::new(terms, purses);
    (0..SETTLED).step_by(STEP as usize).try_for_each(|now| market.step(now))?;
    (market.processor, market.incoming, market.outgoing, market.granted) = Default::default();
    let end = SETTLED + MEASURED;
    (SETTLED..end).step_by(STEP as usize).try_for_each(|now| market.step(now))?;
    if market.incoming.messages == 0 {
        return Err(Failure::NotReached("purses ask"));
    }
    let load = Load {
        seconds: MEASURED as f64 / 1e6,
        instances: 1.0,
        incoming: market.incoming,
        outgoing: market.outgoing,
        processor: market.processor.total(),
    };
    let mut figures = load.figures();
    let each_ask = load.processor.as_secs_f64() * 1e6 / load.incoming.messages as f64;
    figures.push(Figure::new("processor for one ask", Unit::Microseconds, each_ask));
    let part = market.granted as f64 / UNIT as f64 / load.seconds / (terms.rate as f64 / UNIT as f64);
    figures.push(Figure::new("handed out, of what fills", Unit::Count, part));
    figures.extend(memory(terms, purses));
    Ok(figures)
}

/// A bank that all purses have asked.
fn memory(terms: Terms, purses: u64) -> Option<Figure> {
    let (bank, growth) = growth_of(|| {
        let mut bank = Bank::new(terms, 0);
        for number in 0..purses {
            bank.grant(1, (number as u16, INCARNATION), GrantRequest { number: 1, want: UNIT });
        }
        bank
    });
    drop(bank);
    growth.map(|growth| Figure::megabytes("memory of the bank", growth.left))
}
