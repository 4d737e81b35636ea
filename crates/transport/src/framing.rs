//! Message framing of responses (RFC 9112, section 6), and their status (RFC 9110, section 15).
//!
//! hyper reads a body by its chunks if a length stands beside them, as the RFC allows, and keeps both headers. The two ends of such
//! a body differ, so a sender that gives both is faulty or joins two messages: its response is not used. The same holds for lengths
//! that differ, and for codings that were not asked for and would be passed on without being named. hyper also takes statuses that
//! the RFC calls invalid, and one that agrees to an upgrade, which no request asks for.

use derive_more::{Display, Error};
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};
use std::ops::RangeInclusive;

/// Status codes of final responses.
const FINAL: RangeInclusive<u16> = 200..=599;

/// The only transfer coding that is read.
const CHUNKED: &[u8] = b"chunked";

/// Why a response is not used.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// A status that is invalid, or not final.
    #[display("the response has a status that is invalid or not final")]
    Status,
    /// Both a length and a transfer coding.
    #[display("the response has a length beside a transfer coding")]
    Both,
    /// Another transfer coding than chunks alone.
    #[display("the response has another transfer coding than chunks")]
    Coding,
    /// Lengths that differ, or are no numbers.
    #[display("the response has no single length")]
    Length,
    /// A body where the status allows none.
    #[display("the response has a body, which its status does not allow")]
    Body,
}

/// Checks that the head of a response has a final status and says in one way where its body ends.
pub fn check<B>(response: &Response<B>) -> Result<(), Error> {
    check_head(response.status(), response.headers())
}

/// Whether the headers say where the body ends. Otherwise it ends with its connection, and can't be told from one that broke off.
pub fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(TRANSFER_ENCODING) || headers.contains_key(CONTENT_LENGTH)
}

/// Length of the body that the headers give, if they do.
pub fn length(headers: &HeaderMap) -> Result<Option<u64>, Error> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter().flat_map(items);
    let Some(first) = lengths.next().map(number) else {
        return Ok(None);
    };
    let first = first?;
    match lengths.all(|length| number(length) == Ok(first)) {
        true => Ok(Some(first)),
        false => Err(Error::Length),
    }
}

fn check_head(status: StatusCode, headers: &HeaderMap) -> Result<(), Error> {
    if !FINAL.contains(&status.as_u16()) {
        return Err(Error::Status);
    }
    let is_coded = headers.contains_key(TRANSFER_ENCODING);
    if is_coded && headers.contains_key(CONTENT_LENGTH) {
        return Err(Error::Both);
    }
    if is_coded && !is_chunked(headers) {
        return Err(Error::Coding);
    }
    let length = length(headers)?;
    let has_body = is_coded || length.is_some_and(|length| length > 0);
    if status == StatusCode::NO_CONTENT && has_body { Err(Error::Body) } else { Ok(()) }
}

fn is_chunked(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter().flat_map(items);
    let first = codings.next().is_some_and(|coding| coding.eq_ignore_ascii_case(CHUNKED));
    first && codings.next().is_none()
}

/// Items of a header that is a list.
fn items(value: &HeaderValue) -> impl Iterator<Item = &[u8]> {
    value.as_bytes().split(|byte| *byte == b',').map(<[u8]>::trim_ascii)
}

fn number(text: &[u8]) -> Result<u64, Error> {
    let digits = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(text).ok().filter(|_| digits).ok_or(Error::Length)?;
    text.parse().map_err(|_| Error::Length)
}
