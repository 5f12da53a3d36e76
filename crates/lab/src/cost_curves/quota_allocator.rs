//! A budget's allocator under load: all clients want more than there is, so each requests as often as it may. Datagrams
//! are encoded and decoded by the gateway's own code; sockets, locks and leases are left out.

use super::error::MeasurementError;
use super::figure::{Figure, Load, Traffic, Unit};
use super::memory::growth_of;
use super::processor_time::Stopwatch;
use sagearch::net::cluster::wire::{self, Body, GrantAuthority};
use sagearch_homes::{Epoch, Incarnation, Slice};
use sagearch_ledger::{
    Amount, Budget, Grant, GrantRequest, Micros, ONE_CALL, QuotaAllocator, QuotaClient, QuotaParameters,
    Requester,
};

/// The defaults of a budget in the operators' file, with an amount of 1,000 calls.
const BUDGET: Budget =
    Budget { amount: Amount::calls(1_000), window: 10_000_000, overdraft: 250, reserve: 50 };
const DRIFT: u64 = 10;
const STEP: Micros = 10_000;
/// When the load is steady.
const SETTLED: Micros = 2_000_000;
const MEASURED: Micros = 4_000_000;
/// Calls that a client expects in each step: more than its part of any amount.
const EXPECTED: usize = 2;
const FLEET: u32 = 7;
const INCARNATION: u64 = 1_796_000_000_000_000;
const AUTHORITY: GrantAuthority =
    GrantAuthority { slice: Slice(200), epoch: Epoch(INCARNATION), claim: None };

/// An allocator with its clients.
struct Simulation {
    allocator: QuotaAllocator,
    clients: Vec<QuotaClient<Slice>>,
    processor: Stopwatch,
    incoming: Traffic,
    outgoing: Traffic,
    granted: Amount,
}

impl Simulation {
    fn new(parameters: QuotaParameters, clients: u64) -> Simulation {
        Simulation {
            allocator: QuotaAllocator::new(parameters, 0),
            clients: (0..clients)
                .map(|number| QuotaClient::new(parameters, INCARNATION + number, 0))
                .collect(),
            processor: Stopwatch::default(),
            incoming: Traffic::default(),
            outgoing: Traffic::default(),
            granted: Amount::ZERO,
        }
    }

    fn step(&mut self, now: Micros) -> Result<(), MeasurementError> {
        let mut requests = Vec::new();
        for (number, client) in self.clients.iter_mut().enumerate() {
            (0..EXPECTED).for_each(|_| client.expect_call(now));
            client.spend(now, |_| false);
            if let Some(request) = client.request(now) {
                requests.push(Request {
                    client: number,
                    bytes: encode(number, Body::GrantRequest { budget: 0, request })?,
                });
            }
        }
        for request in &requests {
            self.incoming.add(request.bytes.len());
        }
        let allocator = &mut self.allocator;
        let responses = self.processor.time(|| respond(allocator, now, &requests))?;
        for Response { client, grant, bytes } in responses {
            self.outgoing.add(bytes.len());
            self.granted += grant.amount;
            self.clients[client].receive(now, grant, AUTHORITY.slice);
        }
        Ok(())
    }
}

/// An encoded request of a client.
struct Request {
    client: usize,
    bytes: Vec<u8>,
}

/// A grant to a client, and its encoding.
struct Response {
    client: usize,
    grant: Grant,
    bytes: Vec<u8>,
}

/// The allocator's own work: decode, decide, encode.
fn respond(
    allocator: &mut QuotaAllocator,
    now: Micros,
    requests: &[Request],
) -> Result<Vec<Response>, MeasurementError> {
    let mut responses = Vec::new();
    for Request { client, bytes } in requests {
        let request = decode_request(bytes)?;
        let requester = Requester { member: *client as u16, incarnation: INCARNATION + *client as u64 };
        if let Some(grant) = allocator.grant(now, requester, request) {
            let bytes = encode(0, Body::Grant { budget: 0, authority: AUTHORITY, grant })?;
            responses.push(Response { client: *client, grant, bytes });
        }
    }
    Ok(responses)
}

fn decode_request(bytes: &[u8]) -> Result<GrantRequest, MeasurementError> {
    match wire::decode(FLEET, bytes).map_err(|error| MeasurementError::rejected(error.label()))?.body {
        Body::GrantRequest { request, .. } => Ok(request),
        _ => Err(MeasurementError::NotReached("a request is decoded as one")),
    }
}

fn encode(from: usize, body: Body) -> Result<Vec<u8>, MeasurementError> {
    wire::encode(FLEET, Incarnation(INCARNATION + from as u64), body)
        .map_err(|error| MeasurementError::rejected(error.label()))
}

/// Measures an allocator with so many clients. Figures are of the allocator.
///
/// # Errors
///
/// Where a datagram can't be encoded or decoded, or no client requests anything.
pub fn grant(clients: u64) -> Result<Vec<Figure>, MeasurementError> {
    let parameters = BUDGET.parameters(clients, DRIFT).map_err(MeasurementError::rejected)?;
    let mut simulation = Simulation::new(parameters, clients);
    (0..SETTLED).step_by(STEP as usize).try_for_each(|now| simulation.step(now))?;
    (simulation.processor, simulation.incoming, simulation.outgoing, simulation.granted) = Default::default();
    let end = SETTLED + MEASURED;
    (SETTLED..end).step_by(STEP as usize).try_for_each(|now| simulation.step(now))?;
    if simulation.incoming.messages == 0 {
        return Err(MeasurementError::NotReached("clients request quotas"));
    }
    let load = Load {
        seconds: MEASURED as f64 / 1e6,
        instances: 1.0,
        incoming: simulation.incoming,
        outgoing: simulation.outgoing,
        processor: simulation.processor.total(),
    };
    let mut figures = load.figures();
    let each_request = load.processor.as_secs_f64() * 1e6 / load.incoming.messages as f64;
    figures.push(Figure::new("processor for one ask", Unit::Microseconds, each_request));
    let share = calls(simulation.granted) / load.seconds / calls(parameters.rate);
    figures.push(Figure::new("handed out, of what fills", Unit::Count, share));
    figures.extend(memory(parameters, clients));
    Ok(figures)
}

/// An amount in calls.
fn calls(amount: Amount) -> f64 {
    amount.thousandths() as f64 / ONE_CALL.thousandths() as f64
}

/// The memory of an allocator that all clients have sent a request to.
fn memory(parameters: QuotaParameters, clients: u64) -> Option<Figure> {
    let (allocator, growth) = growth_of(|| {
        let mut allocator = QuotaAllocator::new(parameters, 0);
        for number in 0..clients {
            let requester = Requester { member: number as u16, incarnation: INCARNATION };
            allocator.grant(1, requester, GrantRequest { number: 1, want: ONE_CALL });
        }
        allocator
    });
    drop(allocator);
    growth.map(|growth| Figure::megabytes("memory of the bank", growth.left))
}
