//! Requests that make the endpoints crash that run them, and what nodes know of them together.
//!
//! Load pattern: a request whose run ends its engine comes again and again, through every node, under new
//! ids. Health belongs to endpoints and forgets it with the engine, so each copy ended two more. Here the
//! request is remembered: an endpoint that is gone right after it began to run a request is a strike against
//! that request, and one with three strikes, at three incarnations, is shut out.
//!
//! Others run at the same engine and are struck with it, so a strike alone costs them nothing:
//!
//! - Only what began a moment before is struck; a run that went well or went on is forgotten.
//! - A suspect is tried by one node at a time, and no two at one engine. So copies that come meanwhile
//!   do not each end an engine, and what was resumed beside the culprit is not struck with it again.
//! - No request is ruled on while other suspects were at all the endpoints that ended under it: where few engines
//!   generate, what breaks off with the culprit may go on beside it. Each is tried by itself until one of them
//!   runs well, or ends an endpoint alone.
//! - What a request that is shut out has ended is held against no other, unless all of it and one endpoint more ended
//!   under that one. Then that one is shut out, and the first is let in again.
//! - Of endpoints that end together with many others, as with a failure domain or a release, only a request is
//!   suspected that was at two of them.
//!
//! Strikes are sets of incarnations, so nodes merge what they hear in any order.

use crate::ruling::{Ruling, SHUT, Verdict};
use crate::suspect::{SHUT_AT, Suspect, TOGETHER, Trial};
use crate::suspicion::{Standing, Strike, Word};
use crosslane_state::endpoint::Tag;
use crosslane_state::fingerprint::Fingerprint;
use crosslane_state::time::Millis;
use std::collections::BTreeMap;

/// Time from the beginning of a run in which a crash is held against it, in milliseconds: such runs ended
/// 34 to 115 ms after they began (15 seen). With twice that time 2 of 2,920 innocent
/// requests were shut out where engines ended in a row at 7 nodes, with this none of 8,626 (simulated).
pub const BLAMED: u64 = 250;

/// Time after which a run that goes on shows that its request is innocent, in milliseconds.
pub const INNOCENT: u64 = 3 * BLAMED;

/// Time that strikes count, in milliseconds: callers return within their deadline of seconds, and a person
/// who tries again within minutes.
const SUSPECTED: u64 = 600_000;

/// Time that excuses count where nothing else is held against a request, in milliseconds: the same strikes are still
/// heard from others. While any are kept, the fingerprint of each request is taken.
const EXCUSED: u64 = 2_000;

/// Time that ends count which another request is shut out for, in milliseconds: by then a culprit that was taken for its
/// companion has come back.
const SHARED: u64 = 60_000;

/// Time between the announcement of a suspect's run and the run, in milliseconds: by then a node that announced one at
/// the same endpoint is heard of.
pub const ANNOUNCED: u64 = 20;

/// Time that another node's trial keeps copies back, in milliseconds: memory, a prefill and the first
/// tokens take some 2 s. It ends sooner when that node says so.
const TRIAL: u64 = 3_000;

/// Time after its last strike in which a request that is shut out may let others in again, in milliseconds: more than the
/// time that nodes leave the decision to one another.
const ACQUITS: u64 = 5_000;

/// Endpoints that end together from which on something else has ended them: copies that are tried one at a time
/// end two in that time.
const MANY: usize = 3;

/// Most requests that are suspected, and most rulings: some 200 bytes each. Known ones are kept, so that a flood
/// of others can't push them out.
const MOST_SUSPECTS: usize = 4_096;
const MOST_RULINGS: usize = 1_024;

/// Requests under which endpoints ended.
#[derive(Debug)]
pub struct Quarantine {
    /// This node.
    me: Tag,
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// Endpoints that ended a moment ago, as this node saw or heard, and when.
    ended: Vec<(Tag, Millis)>,
    /// What others are still to be told.
    words: Vec<(Fingerprint, Word)>,
    /// Rulings that the store may lack, since when, and whether this node made them.
    unsaved: BTreeMap<Fingerprint, Unsaved>,
    /// Digest of all rulings, and their number.
    digest: u64,
    ruled: usize,
}

/// A ruling that the store may lack.
#[derive(Clone, Copy, Debug)]
struct Unsaved {
    since: Millis,
    own: bool,
}

impl Quarantine {
    /// Nothing is known at this node.
    pub fn new(me: Tag) -> Self {
        let (suspects, unsaved) = (BTreeMap::new(), BTreeMap::new());
        let (ended, words, digest, ruled) = (Vec::new(), Vec::new(), 0, 0);
        Self { me, suspects, ended, words, unsaved, digest, ruled }
    }

    /// Whether nothing is held against any request, so that none need be looked for.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// How a request stands.
    pub fn standing(&self, request: Fingerprint, now: Millis, unix: u64) -> Standing {
        let Some(suspect) = self.suspects.get(&request) else {
            return Standing::Free;
        };
        let elsewhere = suspect.trial.is_some_and(|it| it.until > now);
        let since = suspect.ruling.map_or(unix, |it| it.at);
        match self.is_shut(request, suspect) {
            true => Standing::Shut((since + SHUT).saturating_sub(unix)),
            false if suspect.strikes.is_empty() => Standing::Free,
            false if elsewhere => Standing::OnTrial,
            false => Standing::Suspect,
        }
    }

    /// Whether a request is shut out, be it that the ruling is still on its way.
    fn is_shut(&self, request: Fingerprint, suspect: &Suspect) -> bool {
        match suspect.ruling {
            Some(ruling) => ruling.verdict == Verdict::Shut,
            None => suspect.guilty() && !self.is_explained(request, suspect),
        }
    }

    /// Whether other suspects may have ended all that ended under a request.
    fn is_explained(&self, request: Fingerprint, suspect: &Suspect) -> bool {
        let others = || self.suspects.iter().filter(|(it, _)| **it != request);
        let explained =
            |it: &Tag| others().any(|(_, other)| other.may_explain() && other.was_at(*it));
        suspect.strikes.iter().all(explained)
    }

    /// Begins a run of a suspect at an endpoint.
    pub fn begin(&mut self, request: Fingerprint, endpoint: Tag, now: Millis) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.trial = Some(Trial { by: self.me, endpoint, until: now + TRIAL });
            if suspect.told {
                self.words.push((request, Word::Tried(endpoint)));
            }
        }
    }

    /// Ends this node's run of a suspect.
    pub fn rest(&mut self, request: Fingerprint, now: Millis) {
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return;
        };
        if suspect.trial.is_none_or(|it| it.by != self.me) {
            return;
        }
        suspect.rest(now);
        if suspect.told {
            self.words.push((request, Word::Rested));
        }
    }

    /// Whether a run of a suspect that was announced gives way to another suspect's at the same endpoint. Of two that
    /// were announced at once one does.
    pub fn gives_way(&self, request: Fingerprint, endpoint: Tag, now: Millis) -> bool {
        let before = self.suspects.range(..request).filter_map(|(_, it)| it.trial);
        before.filter(|it| it.until > now).any(|it| it.endpoint == endpoint)
    }

    /// Endpoints at which other suspects run.
    pub fn trials(&self, request: Fingerprint, now: Millis) -> Vec<Tag> {
        let others = self.suspects.iter().filter(|(it, _)| **it != request);
        let trials = others.filter_map(|(_, it)| it.trial);
        trials.filter(|it| it.until > now).map(|it| it.endpoint).collect()
    }

    /// Counts an endpoint that ended under a request right after it had begun there.
    pub fn strike(&mut self, request: Fingerprint, endpoint: Tag, now: Millis) -> Strike {
        self.ended(endpoint, now);
        let explained = self.is_explained_by_ruling(request, endpoint);
        let known = self.suspects.contains_key(&request);
        if !known && !self.has_room() {
            return Strike::Full;
        }
        let suspect = self.suspects.entry(request).or_default();
        if explained && !suspect.ruled_out() {
            suspect.share_one(endpoint);
            if !known {
                suspect.at = now;
            }
            self.restore(request);
            return Strike::Explained;
        }
        if !suspect.strike(endpoint) {
            return Strike::Known;
        }
        (suspect.at, suspect.seen, suspect.last_seen) = (now, true, true);
        self.excuse_chance();
        self.restore(request);
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return Strike::Chance;
        };
        let strikes = suspect.strikes.len();
        if strikes == 0 {
            return Strike::Chance;
        }
        if strikes > 1 || self.ended.len() <= MANY {
            suspect.told = true;
            self.words.push((request, Word::Struck(suspect.strikes.clone())));
        }
        Strike::Held(strikes)
    }

    /// Whether another request is shut out under which an endpoint ended.
    fn is_explained_by_ruling(&self, request: Fingerprint, endpoint: Tag) -> bool {
        let mut others = self.suspects.iter().filter(|(it, _)| **it != request);
        others.any(|(_, other)| other.ruled_out() && other.strikes.contains(&endpoint))
    }

    /// Rules on requests under which enough endpoints ended, once it is known that these did not end together
    /// with others. They are kept out meanwhile. Returns those that are shut out now.
    pub fn settle(&mut self, now: Millis, unix: u64) -> Vec<Fingerprint> {
        if self.ruled >= MOST_RULINGS {
            return Vec::new();
        }
        let due = self.suspects.iter().filter(|(_, it)| it.due(now));
        let due = due.filter(|(request, it)| !self.is_explained(**request, it));
        let due: Vec<Fingerprint> = due.map(|(request, _)| *request).collect();
        due.into_iter().filter(|it| self.shut(*it, now, unix)).collect()
    }

    /// Lets requests in again that another one outdoes which is shut out by now. Returns them.
    pub fn acquit(&mut self, now: Millis, unix: u64) -> Vec<Fingerprint> {
        let ruled_out = || self.suspects.values().filter(|it| it.ruled_out());
        let lately = |it: &&Suspect| (it.left_to_others()..ACQUITS).contains(&now.since(it.at));
        let culprits: Vec<&Suspect> = ruled_out().filter(lately).collect();
        let outdone = self.suspects.iter().filter(|(_, it)| it.ruled_out());
        let outdone = outdone.filter(|(_, it)| culprits.iter().any(|culprit| culprit.outdoes(it)));
        let outdone = outdone.filter_map(|(request, it)| Some((*request, it.ruling?)));
        let outdone: Vec<(Fingerprint, Ruling)> = outdone.collect();
        for (request, ruling) in &outdone {
            let at = unix.max(ruling.at + 1);
            self.decide(*request, Ruling { at, verdict: Verdict::Lifted }, now, unix);
        }
        outdone.into_iter().map(|(request, _)| request).collect()
    }

    /// Notes that an endpoint ended, whatever ran there. Takes strikes back that chance explains: those at
    /// one of many endpoints that ended together.
    pub fn ended(&mut self, endpoint: Tag, now: Millis) {
        self.suspects.values_mut().for_each(|it| it.witness(endpoint, now));
        self.ended.retain(|(_, at)| now.since(*at) < TOGETHER);
        if self.ended.iter().all(|it| it.0 != endpoint) {
            self.ended.push((endpoint, now));
        }
        self.excuse_chance();
    }

    fn excuse_chance(&mut self) {
        if self.ended.len() < MANY {
            return;
        }
        let ended: Vec<Tag> = self.ended.iter().map(|it| it.0).collect();
        for suspect in self.suspects.values_mut().filter(|it| it.ruling.is_none()) {
            let here = suspect.strikes.iter().filter(|it| ended.contains(it)).count();
            if here == 1 {
                suspect.excuse(&ended);
            }
        }
    }

    /// Shuts a request out; false if there is no room for a ruling.
    fn shut(&mut self, request: Fingerprint, now: Millis, unix: u64) -> bool {
        self.decide(request, Ruling { at: unix, verdict: Verdict::Shut }, now, unix)
    }

    /// Puts a ruling of this node in force, and has it told and written; false if there is no room for it.
    fn decide(&mut self, request: Fingerprint, ruling: Ruling, now: Millis, unix: u64) -> bool {
        if !self.rule(request, ruling, now, unix) {
            return false;
        }
        self.unsaved.insert(request, Unsaved { since: now, own: true });
        self.words.push((request, Word::Ruled(ruling)));
        true
    }

    /// Excuses all others from what a request ended that is shut out.
    fn explain(&mut self, request: Fingerprint) {
        let culprit = self.suspects.get(&request).filter(|it| it.ruled_out());
        let Some(ended) = culprit.map(|it| it.strikes.clone()) else {
            return;
        };
        let others = self.suspects.iter_mut().filter(|(it, _)| **it != request);
        let others = others.filter(|(_, other)| !other.ruled_out());
        others.for_each(|(_, other)| other.share(&ended));
    }

    /// Holds against a request what was taken for another one's that it outdoes: that one ran beside it, and was only
    /// struck first. Else the culprit goes on to end three more.
    fn restore(&mut self, request: Fingerprint) {
        let Some(suspect) = self.suspects.get(&request) else {
            return;
        };
        let others = self.suspects.iter().filter(|(it, _)| **it != request);
        let mut shut = others.filter(|(_, other)| other.ruled_out());
        let outdoes = shut.any(|(_, other)| suspect.outdoes(other));
        if outdoes && let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.restore();
        }
    }

    /// Forgets a request that ran well; true if anything was held against it.
    pub fn clear(&mut self, request: Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get(&request).filter(|it| it.ruling.is_none()) else {
            return false;
        };
        if suspect.told {
            self.words.push((request, Word::Cleared));
        }
        self.suspects.remove(&request);
        true
    }

    /// Takes another node's word.
    pub fn hear(
        &mut self,
        from: Tag,
        request: Fingerprint,
        word: Word,
        now: Millis,
        unix: u64,
    ) -> bool {
        match word {
            Word::Struck(endpoints) => {
                self.hear_struck(request, &endpoints, now);
                // The last one is new; those before were told when they ended.
                if let Some(last) = endpoints.last() {
                    self.ended(*last, now);
                }
            }
            Word::Known(endpoints) => self.hear_struck(request, &endpoints, now),
            Word::Tried(endpoint) => {
                if let Some(suspect) = self.suspects.get_mut(&request) {
                    suspect.trial = Some(Trial { by: from, endpoint, until: now + TRIAL });
                }
            }
            Word::Rested => {
                let suspect = self.suspects.get_mut(&request);
                if let Some(suspect) = suspect.filter(|it| it.trial.is_some_and(|it| it.by == from))
                {
                    suspect.rest(now);
                }
            }
            Word::Cleared => {
                let innocent = self.suspects.get(&request).is_some_and(|it| it.ruling.is_none());
                if innocent {
                    self.suspects.remove(&request);
                }
            }
            Word::Ruled(ruling) => return self.take(request, ruling, now, unix),
        }
        false
    }

    fn hear_struck(&mut self, request: Fingerprint, endpoints: &[Tag], now: Millis) {
        if !self.suspects.contains_key(&request) && !self.has_room() {
            return;
        }
        let suspect = self.suspects.entry(request).or_default();
        endpoints.iter().for_each(|it| {
            suspect.strike(*it);
        });
        (suspect.told, suspect.at, suspect.last_seen) = (true, now, false);
        self.restore(request);
        self.explain(request);
    }

    fn has_room(&self) -> bool {
        self.suspects.len() < MOST_SUSPECTS
    }

    /// Takes a ruling of another node or of the store; true if it is new.
    pub fn take(&mut self, request: Fingerprint, ruling: Ruling, now: Millis, unix: u64) -> bool {
        let new = self.rule(request, ruling, now, unix);
        if new {
            self.unsaved.insert(request, Unsaved { since: now, own: false });
        }
        new
    }

    /// Puts a ruling in force, unless a later one is known or there are too many.
    fn rule(&mut self, request: Fingerprint, ruling: Ruling, now: Millis, unix: u64) -> bool {
        let known = self.suspects.get(&request).and_then(|it| it.ruling);
        let full = known.is_none() && self.ruled >= MOST_RULINGS;
        if full || ruling.over(unix) || known.is_some_and(|it| it >= ruling) {
            return false;
        }
        let suspect = self.suspects.entry(request).or_default();
        suspect.ruling = Some(ruling);
        suspect.at = now;
        suspect.trial = None;
        if ruling.verdict == Verdict::Lifted {
            suspect.excused.append(&mut suspect.strikes);
            suspect.excused.append(&mut suspect.shared);
        }
        self.explain(request);
        self.count();
        true
    }

    /// Notes that the store has a ruling.
    pub fn saved(&mut self, request: Fingerprint, ruling: Ruling) {
        let known = self.suspects.get(&request).and_then(|it| it.ruling);
        if known.is_none_or(|it| it <= ruling) {
            self.unsaved.remove(&request);
        }
    }

    /// Rulings to be written to the store: those made here at once, those heard of after a while, if this
    /// node is to look after them.
    pub fn unsaved(&self, now: Millis, after: Option<u64>) -> Vec<(Fingerprint, Ruling)> {
        let due = |it: &Unsaved| it.own || after.is_some_and(|after| now.since(it.since) >= after);
        let unsaved = self.unsaved.iter().filter(|(_, it)| due(it));
        let rulings = unsaved.filter_map(|(it, _)| Some((*it, self.suspects.get(it)?.ruling?)));
        rulings.collect()
    }

    /// What a node that starts is to know of requests that are not ruled on.
    pub fn known(&self) -> Vec<(Fingerprint, Word)> {
        let suspects = self.suspects.iter().filter(|(_, it)| it.told && it.ruling.is_none());
        let struck = suspects.filter(|(_, it)| !it.strikes.is_empty());
        struck.map(|(request, it)| (*request, Word::Known(it.strikes.clone()))).collect()
    }

    /// All rulings.
    pub fn rulings(&self) -> impl Iterator<Item = (Fingerprint, Ruling)> {
        self.suspects.iter().filter_map(|(request, it)| Some((*request, it.ruling?)))
    }

    /// Digest of all rulings, by which nodes find that theirs differ; zero without any.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    fn count(&mut self) {
        let rows = self.rulings().map(|(request, ruling)| ruling.row(request));
        let (digest, ruled) = rows.fold((0, 0), |(digest, ruled), row| (digest ^ row, ruled + 1));
        (self.digest, self.ruled) = (digest, ruled);
    }

    /// Has others told something.
    pub fn tell(&mut self, request: Fingerprint, word: Word) {
        self.words.push((request, word));
    }

    /// What others are still to be told.
    pub fn words(&mut self) -> Vec<(Fingerprint, Word)> {
        std::mem::take(&mut self.words)
    }

    /// Requests that are shut out.
    pub fn shut_count(&self) -> usize {
        self.suspects.iter().filter(|(request, it)| self.is_shut(**request, it)).count()
    }

    /// Forgets what is over, and returns which requests. One that was shut out is on parole: its next crash shuts it out
    /// again.
    pub fn expire(&mut self, now: Millis, unix: u64) -> Vec<Fingerprint> {
        for suspect in self.suspects.values_mut() {
            if suspect.ruling.take_if(|it| it.over(unix)).is_some() {
                suspect.strikes.truncate(SHUT_AT - 1);
                suspect.at = now;
            }
        }
        let over = |it: &Suspect| {
            let kept = match (it.strikes.is_empty(), it.shared.is_empty()) {
                (false, _) => SUSPECTED,
                (true, false) => SHARED,
                (true, true) => EXCUSED,
            };
            it.ruling.is_none() && now.since(it.at) >= kept
        };
        let forgotten =
            self.suspects.iter().filter(|(_, it)| over(it)).map(|(request, _)| *request);
        let forgotten: Vec<Fingerprint> = forgotten.collect();
        self.suspects.retain(|_, it| !over(it));
        self.unsaved.retain(|request, _| self.suspects.contains_key(request));
        self.count();
        forgotten
    }
}
