//! An operator who takes stores out of gateways' service and puts them back, and repeats a call until it is stored.

use super::context::RunContext;
use super::recorder::Recorder;
use super::store_servers::store_name;
use crate::participant::ParticipantId;
use crate::trace::EventKind;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// A call that has failed is made again after this.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// A call without an answer by then has failed.
const ANSWER_WITHIN: Duration = Duration::from_secs(2);
/// The begin of the answer to a call that was stored.
const STORED: &[u8; 12] = b"HTTP/1.1 200";

/// What an operator asks of one gateway about one store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// To send the store nothing more.
    Suspend,
    /// To use it again.
    Resume,
}

impl Order {
    /// As the gateway's interface for operators names it.
    fn name(self) -> &'static str {
        match self {
            Order::Suspend => "suspend",
            Order::Resume => "resume",
        }
    }
}

/// The operator of a run. Orders about the same gateway and store are given one after the other.
pub struct Operator {
    context: RunContext,
    orders: HashMap<(ParticipantId, ParticipantId), watch::Sender<Order>>,
}

impl Operator {
    /// An operator who has given no orders.
    pub fn new(context: RunContext) -> Operator {
        Operator { context, orders: HashMap::new() }
    }

    /// Gives an order, in place of one that has not been carried out yet.
    pub fn order(&mut self, gateway: ParticipantId, store: ParticipantId, order: Order) {
        if let Some(orders) = self.orders.get(&(gateway, store)) {
            orders.send_replace(order);
            return;
        }
        let (orders, given) = watch::channel(order);
        let address = self.context.network.operators(gateway);
        let calls = OrderCalls { gateway, store, address, recorder: self.context.recorder.clone() };
        tokio::spawn(calls.carry_out(given));
        self.orders.insert((gateway, store), orders);
    }
}

/// The calls about one store at one gateway.
struct OrderCalls {
    gateway: ParticipantId,
    store: ParticipantId,
    address: SocketAddr,
    recorder: Recorder,
}

impl OrderCalls {
    /// Ends with the operator.
    async fn carry_out(self, mut given: watch::Receiver<Order>) {
        let (gateway, store) = (self.gateway, self.store);
        loop {
            let order = *given.borrow_and_update();
            if order == Order::Resume {
                // It may be carried out, also where its answer is lost.
                self.recorder.record(EventKind::ResumeAsked { gateway, store });
            }
            if !self.is_stored(order).await {
                tokio::time::sleep(RETRY_AFTER).await;
                if given.has_changed().is_err() {
                    return;
                }
                continue;
            }
            if order == Order::Suspend {
                self.recorder.record(EventKind::Suspended { gateway, store });
            }
            if given.changed().await.is_err() {
                return;
            }
        }
    }

    /// Makes the call; whether the gateway has acknowledged it.
    async fn is_stored(&self, order: Order) -> bool {
        let (store, order) = (store_name(self.store), order.name());
        let request = format!("POST /v1/stores/{store}/{order} HTTP/1.1\r\nHost: lab\r\n\r\n");
        let exchange = async {
            let mut stream = TcpStream::connect(self.address).await?;
            stream.write_all(request.as_bytes()).await?;
            let mut status = [0; STORED.len()];
            stream.read_exact(&mut status).await?;
            std::io::Result::Ok(&status == STORED)
        };
        matches!(tokio::time::timeout(ANSWER_WITHIN, exchange).await, Ok(Ok(true)))
    }
}
