//! Checks of the world as a whole.

use galenaloft_caller::SEARCH_PATH;
use galenaloft_caller::wire::Answer;
use galenaloft_caller::wire::SearchRequest;

use crate::world::HOSTS;
use crate::world::Process;
use crate::world::scene::Scene;

/// Reads of the platform that each start of a host may add.
const READS_PER_START: u64 = 20;

impl Scene {
    pub fn note_stamps(&self) {
        let mut inner = self.world.lock();
        let stamps: Vec<_> = inner.processes.values().map(stamp).collect();
        for (process, stamp) in stamps {
            inner.oracle.note_stamp(process, stamp);
        }
    }

    /// Sends every submission again, so that what its ticket came to is compared with its runs.
    pub async fn ask_for_outcomes(&mut self) {
        let tickets = self.tickets.lock().unwrap().clone();
        for (index, ticket) in tickets.into_iter().enumerate() {
            let body = ticket.clone();
            self.submit_under(index % HOSTS, ticket, body);
        }
        while self.running.join_next().await.is_some() {}
    }

    /// The platform serves 2,000 reads a second; each of 860 hosts may use its share.
    pub fn check_reads(&self) {
        let mut inner = self.world.lock();
        let share = 2_000.0 / 860.0 * HOSTS as f64 * self.begun.elapsed().as_secs_f64();
        let bound = share + (self.starts * READS_PER_START) as f64;
        let reads = inner.platform.reads;
        if reads as f64 > bound {
            inner.oracle.note_broken(format!("{reads} reads of the platform, {bound:.0} allowed"));
        }
    }

    pub fn is_no_sheet_left(&self) -> bool {
        let inner = self.world.lock();
        let published = &inner.platform.values["sheet"];
        let known = inner.processes.values().any(|p| p.node.status().revision > 0);
        published.value.contains("broken") && !known
    }

    pub fn check_sheets(&self) {
        self.note_stamps();
        let mut inner = self.world.lock();
        let stamps: Vec<_> = inner.processes.values().map(|p| stamp(p).1).collect();
        if stamps.iter().any(|stamp| *stamp != stamps[0]) {
            inner.oracle.note_broken(format!("sheets in force differ: {stamps:?}"));
        }
        let published = inner.platform.values["sheet"].clone();
        let valid = !published.value.contains("broken");
        if valid && stamps.iter().any(|stamp| stamp.0 < published.version) {
            let version = published.version;
            inner.oracle.note_broken(format!("{version} is published, in force are {stamps:?}"));
        }
    }

    /// Once all faults have ended, every host must answer from the whole catalogue.
    ///
    /// It can't when every process that knew a valid sheet has ended and the platform has only an
    /// invalid one: then no copy of a valid sheet is left anywhere.
    pub async fn check_whole_answer(&mut self, host: usize) {
        if self.is_no_sheet_left() {
            return;
        }
        let req = SearchRequest { kind: "look".to_owned(), query: "end".to_owned(), limit: 1_000 };
        let Some((_, call)) = self.call(host, SEARCH_PATH, &req) else {
            return;
        };
        let answer = call.await.map(|called| serde_json::from_slice::<Answer>(&called.body));
        if !matches!(&answer, Some(Ok(answer)) if answer.complete) {
            let why = format!("host {host} gives no whole answer at the end: {answer:?}");
            self.world.lock().oracle.note_broken(why);
        }
    }
}

fn stamp(process: &Process) -> (u64, (u32, String)) {
    let status = process.node.status();
    (process.id, (status.revision, status.sheet_hash))
}
