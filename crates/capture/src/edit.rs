//! Creates captures from others: a time range of one, or one with request names and operation keys redacted.

use crate::format::{self, FormatError};
use crate::reader::Part;
use crate::record::{AuxiliaryStates, Header, Record, Round};
use crate::recorder::{Limits, Recorder};
use jaspershunt_keys::Key;
use std::collections::{BTreeMap, BTreeSet};

/// Cuts a time range of the module's clock out of a capture: from the last snapshot at or before `from` to
/// the first block that ends at or after `to`. Blocks are copied unchanged. Returns `None` if the capture
/// has no snapshot.
///
/// # Errors
/// The bytes are not a capture.
pub fn cut(bytes: &[u8], from: f64, to: f64) -> Result<Option<Vec<u8>>, FormatError> {
    let mut blocks = Vec::new();
    for part in crate::reader::parts(bytes)? {
        if let Part::Block { offset, header, .. } = part {
            blocks.push((offset, format::BLOCK_HEADER_BYTES + header.compressed_bytes as usize, header));
        }
    }
    let first_snapshot =
        blocks.iter().rposition(|(_, _, header)| header.snapshot && header.starts_at <= from);
    // If every snapshot is later than `from`, starts at the first one.
    let Some(first) = first_snapshot.or_else(|| blocks.iter().position(|(_, _, header)| header.snapshot))
    else {
        return Ok(None);
    };
    let last = blocks[first..]
        .iter()
        .position(|(_, _, header)| header.ends_at >= to)
        .map_or(blocks.len(), |n| first + n + 1);
    let mut out = format::file_header().to_vec();
    for (offset, length, _) in &blocks[first..last] {
        out.extend(&bytes[*offset..offset + length]);
    }
    Ok(Some(out))
}

/// Builds a capture of one state and the rounds after it.
///
/// # Errors
/// Only an error of the encoder, which no rounds cause.
pub fn build_capture(header: &Header, state: Vec<u8>, rounds: &[Round]) -> Result<Vec<u8>, FormatError> {
    let limits = Limits { block_bytes: usize::MAX, snapshot_every: f64::INFINITY };
    let mut recorder = Recorder::new(header.clone(), limits);
    recorder.snapshot(rounds.first().map_or(0.0, |first| first.now), state)?;
    let mut out = format::file_header().to_vec();
    for round in rounds {
        out.extend(recorder.round(round)?.unwrap_or_default());
    }
    out.extend(recorder.flush()?.unwrap_or_default());
    Ok(out)
}

/// Replaces correlation ids and operation keys by pseudonyms, the same name always by the same pseudonym.
/// The redacted capture replays like the original. For that, keys keep their length and order, since both
/// influence which entries are evicted.
///
/// # Errors
/// The bytes are not a capture, or a block cannot be encoded again.
pub fn redact(bytes: &[u8]) -> Result<Vec<u8>, FormatError> {
    let mut blocks = Vec::new();
    for part in crate::reader::parts(bytes)? {
        if let Part::Block { header, records, .. } = part {
            blocks.push((header, records));
        }
    }
    let mut keys = BTreeSet::new();
    blocks.iter_mut().flat_map(|(_, records)| records).for_each(|record| collect_keys(record, &mut keys));
    let pseudonyms: BTreeMap<Key, Key> =
        keys.into_iter().enumerate().map(|(n, key)| pseudonym_for(n, key)).collect();
    let mut names: BTreeMap<String, String> = BTreeMap::new();
    let mut out = format::file_header().to_vec();
    for (header, records) in blocks {
        let mut payload = Vec::new();
        for mut record in records {
            redact_record(&mut record, &pseudonyms, &mut names);
            format::append_record(&mut payload, &record)?;
        }
        format::append_block(&mut out, header, &payload)?;
    }
    Ok(out)
}

/// Returns a pseudonym of the same length that sorts by `number`. It is longer if the key is too short for
/// the number.
fn pseudonym_for(number: usize, key: Key) -> (Key, Key) {
    let digits = key.len().saturating_sub(1);
    let pseudonym = format!("k{number:0digits$}");
    (key, pseudonym.into())
}

fn collect_keys(record: &mut Record, keys: &mut BTreeSet<Key>) {
    match record {
        Record::AuxiliarySteps(steps) => {
            keys.extend(
                steps.keys.iter_mut().filter_map(|step| step.operation.key_mut().map(|key| key.clone())),
            );
        }
        Record::AuxiliaryStates(states) => {
            if let (Some(table), _) = states.load() {
                keys.extend(table.entries().map(|(key, ..)| key.clone()));
            }
        }
        _ => {}
    }
}

fn redact_record(record: &mut Record, pseudonyms: &BTreeMap<Key, Key>, names: &mut BTreeMap<String, String>) {
    let pseudonym = |key: &Key| pseudonyms.get(key).cloned().unwrap_or_else(|| "k".into());
    match record {
        Record::Round(round) => {
            for (_, name) in &mut round.names {
                let pseudonym = format!("r{}", names.len() + 1);
                *name = names.entry(std::mem::take(name)).or_insert(pseudonym).clone();
            }
        }
        Record::AuxiliarySteps(steps) => {
            steps
                .keys
                .iter_mut()
                .filter_map(|step| step.operation.key_mut())
                .for_each(|key| *key = pseudonym(key));
        }
        Record::AuxiliaryStates(states) => {
            if let (Some(table), dependencies) = states.load() {
                *states = AuxiliaryStates::of(&table.with_renamed_keys(pseudonym), dependencies.as_ref());
            }
        }
        _ => {}
    }
}

#[cfg(test)]
mod tests;
