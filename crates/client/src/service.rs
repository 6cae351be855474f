//! Both protocols behind one interface.

use std::future::Future;
use std::pin::Pin;

use futures_lite::stream::{self, Stream, StreamExt};
use futures_lite::{future, FutureExt};
use serde_json::Value;

use crate::client::{Client, Ending, Query, Rows};
use crate::kernel::Kernels;

/// Rows as they come.
pub type RowStream<'a> = Pin<Box<dyn Stream<Item = Result<Vec<Value>, Ending>> + 'a>>;

/// Gateways, by the statement protocol or by the kernel protocol.
pub enum Service {
    /// By the statement protocol.
    Gateways(Client),
    /// By the kernel protocol: rows come whole with a cell's result, so that a stream of them begins at its end.
    Kernels(Kernels),
}

impl Service {
    /// Runs a statement to its end.
    ///
    /// # Errors
    /// See [`Ending`].
    pub async fn run(&self, query: &Query) -> Result<Rows, Ending> {
        match self {
            Service::Gateways(client) => client.run(query).await,
            Service::Kernels(kernels) => kernels.run(query).await,
        }
    }

    /// Runs a statement to its end, and cancels it once `stop` completes; the end is told all the same, and may be a good one that
    /// came first.
    ///
    /// # Errors
    /// See [`Ending`]; a cancelled one is declined as `USER_CANCELED`.
    pub async fn run_until(&self, query: &Query, stop: impl Future<Output = ()>) -> Result<Rows, Ending> {
        match self {
            Service::Gateways(client) => {
                let mut running = client.open(query.clone());
                let canceller = running.canceller();
                let stopped = async {
                    stop.await;
                    canceller.cancel().await;
                    future::pending().await
                };
                async { running.collect().await }.or(stopped).await
            }
            Service::Kernels(kernels) => kernels.run_until(query, stop).await,
        }
    }

    /// The rows of a statement, as a stream that ends after an error.
    pub fn rows(&self, query: Query) -> RowStream<'_> {
        match self {
            Service::Gateways(client) => Box::pin(client.open(query).rows()),
            Service::Kernels(kernels) => {
                let whole = async move {
                    match kernels.run(&query).await {
                        Ok(rows) => rows.rows.into_iter().map(Ok).collect(),
                        Err(ending) => vec![Err(ending)],
                    }
                };
                Box::pin(stream::once_future(whole).flat_map(stream::iter))
            }
        }
    }

    /// Tries so far, first ones included.
    pub fn sent(&self) -> u64 {
        match self {
            Service::Gateways(client) => client.sent(),
            Service::Kernels(kernels) => kernels.sent(),
        }
    }
}
