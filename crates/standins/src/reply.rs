//! Answers of stand-ins, lost ones included.

use bytes::Bytes;
use crosslane_transport::http::{BodyError, ResponseBody};
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::{Frame, Incoming};
use serde::de::DeserializeOwned;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Longest body that a stand-in reads, in bytes.
const BODY_BYTES: usize = 64 << 20;

/// Time for a body to arrive.
const BODY: Duration = Duration::from_secs(30);

/// An answer whose connection breaks before it is whole.
pub fn lost() -> Response<ResponseBody> {
    let error = || Err::<Frame<Bytes>, BodyError>("reply lost on order".into());
    Response::new(StreamBody::new(stream::once(async move { error() })).boxed())
}

/// Reads a JSON body.
pub async fn read<T: DeserializeOwned>(body: Incoming) -> Option<T> {
    let bytes = crosslane_transport::http::read_body(body, BODY_BYTES, BODY).await.ok()?;
    serde_json::from_slice(&bytes).ok()
}

/// Takes one from a counter of things still to do; false when none is left.
pub fn take(counter: &AtomicU64) -> bool {
    let less = |it: u64| it.checked_sub(1);
    counter.fetch_update(Ordering::Relaxed, Ordering::Relaxed, less).is_ok()
}

/// A number in a query string.
pub fn query(query: Option<&str>, name: &str) -> Option<u64> {
    let pairs = query?.split('&').filter_map(|it| it.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name)?.1.parse().ok()
}
