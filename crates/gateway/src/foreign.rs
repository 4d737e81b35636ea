//! Records of other writers in the topics that nodes follow.
//!
//! Whoever may write to a topic can put anything there: keys that no endpoint can have, bodies of any size, and many that change. Such a
//! record names no endpoint. Nodes keep its offset, so that nothing seems to be missing, and a digest of its body, so that it takes the
//! endpoint of its key out of use and is reported once.

use crate::mirror::Topic;
use bytes::Bytes;
use crosslane_platform::discovery::{self, Error};
use crosslane_platform::evacuation;
use crosslane_platform::store::{CONFIGURATION_KEY, Record};

/// Longest key that a record of the store can have, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// What is kept of a record of a topic.
pub fn compact(topic: Topic, record: Record) -> Record {
    match topic {
        Topic::Operators => compact_operator(record),
        Topic::Endpoints => compact_endpoint(record),
    }
}

/// What is kept of a record among those of endpoints. Its value is copied, so that it does not hold the page in which it came.
pub fn compact_endpoint(record: Record) -> Record {
    let Record { offset, key, value } = record;
    let decoded = value.as_ref().map(|value| discovery::decode(&key, value).map(drop));
    match decoded {
        _ if key.len() > MAX_KEY_BYTES => Record::empty(offset),
        Some(Err(Error::Id)) => Record::empty(offset),
        Some(Err(Error::Format { .. } | Error::Range { .. })) => {
            Record { offset, key, value }.digest()
        }
        None | Some(Ok(())) => {
            Record { offset, key, value: value.map(|value| Bytes::copy_from_slice(&value)) }
        }
    }
}

/// What is kept of a record among those of the operators.
fn compact_operator(record: Record) -> Record {
    let is_known = record.key == CONFIGURATION_KEY || evacuation::domain(&record.key).is_some();
    if is_known { record } else { Record::empty(record.offset) }
}
