//! The promises, checked against what callers and searchers saw.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use galenaloft_platform_standin::caller::Answer;
use galenaloft_platform_standin::scene::MAX_ATTEMPTS;
use galenaloft_platform_standin::scene::MIN_COVERAGE;
use galenaloft_platform_standin::scene::TOP_RECORDS;
use galenaloft_platform_standin::scene::greatest;
use galenaloft_platform_standin::searcher::Arrival;
use galenaloft_platform_standin::searcher::Searcher;

use crate::callers::End;
use crate::callers::Kind;
use crate::callers::Seen;
use crate::evacuations::EVACUATION_BOUND;
use crate::world::Event;
use crate::world::History;
use crate::world::Target;

/// Time without a disturbance after which the bounds hold.
const STABLE: Duration = Duration::from_secs(4);

/// Time within which a configuration is in force.
const CONFIG_BOUND: Duration = Duration::from_secs(3);

/// Time after which a leaving searcher gets nothing more.
pub(crate) const DRAIN_BOUND: Duration = Duration::from_secs(3);

/// Longest time for which a request may wait beyond its route's timeout.
const HELD_BOUND: Duration = Duration::from_millis(500);

/// Timeout of the route of queries.
const GATHER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Timeout of the other routes, as far as their callers wait.
const SINGLE_TIMEOUT: Duration = crate::callers::PATIENCE;

/// After this time a request that was sent has been read, unless its connection ends.
const READ_BY: Duration = Duration::from_millis(200);

/// Window and bound of requests beyond the first, as in the hosts' settings.
const EXTRA_WINDOW: Duration = Duration::from_secs(10);
const EXTRA_RATIO: f64 = 0.2;
const EXTRA_SLACK: f64 = 54.0;

/// Requests that may run on more searchers than their route allows before the rule is broken.
const ATTEMPTS_SLACK: usize = 3;

/// Most lines for one promise.
const MAX_LINES: usize = 5;

/// One request that reached a searcher.
struct Reached<'a> {
    service: &'a str,
    searcher: &'a str,
    arrival: &'a Arrival,
}

/// An answer of a searcher, by its signature.
struct Signed<'a> {
    service: &'a str,
    request: &'a str,
    body: &'a [u8],
    whole: bool,
}

struct Checker<'a> {
    history: &'a History,
    shards: usize,
    requests: BTreeMap<&'a str, &'a Seen>,
    reached: Vec<Reached<'a>>,
    signed: BTreeMap<String, Signed<'a>>,
    broken: BTreeMap<&'static str, Vec<String>>,
}

/// Returns the promises that were broken; requests sent after `recovered` must be served.
pub fn check(
    seen: &[Seen],
    history: &History,
    hosts: usize,
    shards: usize,
    recovered: Instant,
) -> Vec<String> {
    let arrivals: Vec<Vec<Arrival>> = history.searchers.iter().map(Searcher::arrivals).collect();
    let mut reached = Vec::new();
    let mut signed = BTreeMap::new();
    for (searcher, arrivals) in history.searchers.iter().zip(&arrivals) {
        let (service, id) = (searcher.spec.service.as_str(), searcher.spec.id.as_str());
        reached.extend(arrivals.iter().map(|arrival| Reached { service, searcher: id, arrival }));
    }
    let answers: Vec<_> = history.searchers.iter().map(Searcher::answers).collect();
    for (searcher, answers) in history.searchers.iter().zip(&answers) {
        for answer in answers {
            let entry = Signed {
                service: &searcher.spec.service,
                request: &answer.request,
                body: &searcher.spec.body,
                whole: answer.whole,
            };
            signed.insert(answer.signature.clone(), entry);
        }
    }
    let requests = seen.iter().map(|seen| (seen.id.as_str(), seen)).collect();
    let broken = BTreeMap::new();
    let mut checker = Checker { history, shards, requests, reached, signed, broken };
    checker.check_arrivals();
    checker.check_attempts();
    checker.check_extra();
    checker.check_notices(hosts);
    checker.check_evacuations();
    for seen in seen {
        checker.check_answer(seen);
        checker.check_held(seen);
        checker.check_planned_stop(seen);
        if seen.sent >= recovered && !matches!(seen.end, End::Left) && !seen.is_served() {
            checker.note("served after recovery", seen, "is not served");
        }
    }
    let lines = checker.broken.into_iter().flat_map(|(promise, cases)| {
        let count = cases.len();
        let first = cases.into_iter().take(MAX_LINES);
        first.map(move |case| format!("{promise} ({count}): {case}")).collect::<Vec<_>>()
    });
    lines.collect()
}

impl Checker<'_> {
    fn check_arrivals(&mut self) {
        let mut filed: BTreeSet<&str> = BTreeSet::new();
        let mut broken = Vec::new();
        for Reached { service, searcher, arrival } in &self.reached {
            let id = id_of(arrival);
            let Some(seen) = self.requests.get(id) else {
                broken.push(("only what was asked", format!("request {id} was never sent")));
                continue;
            };
            if arrival.path != seen.path || arrival.body != seen.body {
                let what = format!("request {id} reached {searcher} changed: {}", arrival.path);
                broken.push(("only what was asked", what));
            }
            if !arrival.ran {
                continue;
            }
            if seen.kind == Kind::File && !filed.insert(id) {
                broken.push(("at most once", format!("request {id} ran again at {searcher}")));
            }
            if seen.kind == Kind::Fetch && !self.may_run(seen, service) {
                let what = format!("request {id} ran at {service}");
                broken.push(("configuration in force", what));
            }
            if self.is_gone(searcher, arrival.at) {
                let what = format!("request {id} reached {searcher}");
                broken.push(("leaving searchers", what));
            }
        }
        self.add(broken);
    }

    /// Whether a configuration that may be in force sends the fetch to the service.
    fn may_run(&self, seen: &Seen, service: &str) -> bool {
        let configured = &self.history.configured;
        let due = configured.iter().rposition(|known| known.at + CONFIG_BOUND <= seen.sent);
        let Some(due) = due else {
            return true;
        };
        let since = configured[due].at.checked_sub(STABLE).unwrap_or(seen.sent);
        let disturbed = self.is_disturbed(since, seen.ended, |target| {
            matches!(target, Target::Host(_) | Target::Store | Target::WayToStore)
        });
        disturbed || configured[due..].iter().any(|known| known.fetched == service)
    }

    /// Whether a searcher must not get requests any more.
    fn is_gone(&self, searcher: &str, at: Instant) -> bool {
        let Some(drained) = self.history.drained.iter().find(|drained| drained.id == searcher)
        else {
            return false;
        };
        let since = drained.at.checked_sub(STABLE).unwrap_or(drained.at);
        at > drained.at + DRAIN_BOUND
            && !self.is_disturbed(since, at, |target| {
                matches!(target, Target::Host(_) | Target::Store | Target::WayToStore)
            })
    }

    fn check_attempts(&mut self) {
        let mut searchers: BTreeMap<(&str, &str), BTreeSet<&str>> = BTreeMap::new();
        for Reached { service, searcher, arrival } in self.reached.iter().filter(|r| r.arrival.ran)
        {
            let id = id_of(arrival);
            searchers.entry((id, service)).or_default().insert(searcher);
        }
        let over = searchers.iter().filter(|(_, ran)| ran.len() > MAX_ATTEMPTS);
        let cases: Vec<String> =
            over.map(|((id, service), ran)| format!("{id} ran at {ran:?} of {service}")).collect();
        if cases.len() > ATTEMPTS_SLACK {
            self.broken.insert("attempts", cases);
        }
    }

    /// Checks the bound on requests beyond the first in every window that begins with one.
    fn check_extra(&mut self) {
        let mut services: BTreeMap<&str, Vec<(Instant, bool)>> = BTreeMap::new();
        let mut order: Vec<&Reached<'_>> = self.reached.iter().collect();
        order.sort_by_key(|reached| reached.arrival.at);
        let mut known: BTreeSet<(&str, &str)> = BTreeSet::new();
        for Reached { service, arrival, .. } in order {
            let id = id_of(arrival);
            let extra = !known.insert((id, service));
            services.entry(service).or_default().push((arrival.at, extra));
        }
        let mut broken = Vec::new();
        for (service, arrivals) in services {
            let starts = arrivals.iter().filter(|(_, extra)| *extra).map(|(at, _)| *at);
            for start in starts {
                let inside =
                    |at: Instant| at >= start && at.saturating_duration_since(start) < EXTRA_WINDOW;
                let (mut extra, mut first) = (0, 0);
                for (_, is_extra) in arrivals.iter().filter(|(at, _)| inside(*at)) {
                    *(if *is_extra { &mut extra } else { &mut first }) += 1;
                }
                let bound = EXTRA_SLACK + EXTRA_RATIO * f64::from(first);
                if f64::from(extra) > bound {
                    broken
                        .push(("extra requests", format!("{service} got {extra}, bound {bound}")));
                    break;
                }
            }
        }
        self.add(broken);
    }

    /// Checks what searchers stated in their answers while no host was stopped, killed or held.
    fn check_notices(&mut self, hosts: usize) {
        let mut broken = Vec::new();
        for stated in &self.history.stated {
            let (from, until) = stated.binding();
            let since = from.checked_sub(STABLE).unwrap_or(from);
            let is_host = |target| matches!(target, Target::Host(_) | Target::Stop(_));
            if !self.is_disturbed(since, until, is_host) {
                broken.extend(stated.broken(hosts).map(|what| ("statements", what)));
            }
        }
        self.add(broken);
    }

    /// Checks that no request reaches a searcher of an evacuated zone after the bound. Faults of the
    /// store or of hosts before the bound extend it, since these hosts could not learn of it in time.
    /// A host that alone cannot reach the store learns from the others.
    fn check_evacuations(&mut self) {
        let mut broken = Vec::new();
        for evacuated in &self.history.evacuated {
            let bound = self.evacuation_bound(evacuated.from);
            for searcher in &self.history.searchers {
                if searcher.spec.zone != evacuated.zone {
                    continue;
                }
                let arrivals = searcher.arrivals().into_iter().map(|arrival| arrival.at);
                let late = arrivals.filter(|at| (bound..evacuated.until).contains(at));
                broken.extend(late.map(|at| {
                    let (id, zone) = (&searcher.spec.id, evacuated.zone);
                    let after = at.saturating_duration_since(evacuated.from);
                    ("evacuated zones", format!("{id} of {zone} got a request {after:?} after it"))
                }));
            }
        }
        self.add(broken);
    }

    /// Returns the time from which no request may reach a zone that was evacuated at `from`. While the
    /// store is away, nobody can learn of it; a host that is held learns of it afterwards.
    fn evacuation_bound(&self, from: Instant) -> Instant {
        let mut bound = from + EVACUATION_BOUND;
        let mut events: Vec<&Event> = self.history.events.iter().collect();
        events.retain(|event| event.until.is_some_and(|until| until >= from));
        events.sort_by_key(|event| event.from);
        let end = |event: &Event| event.until.unwrap_or(event.from) + EVACUATION_BOUND;
        for event in events.iter().filter(|event| event.target == Target::Store) {
            if event.from <= bound {
                bound = bound.max(end(event));
            }
        }
        let held = events.iter().filter(|event| matches!(event.target, Target::Host(_)));
        held.filter(|event| event.from <= bound).map(|event| end(event)).fold(bound, Instant::max)
    }

    fn check_answer(&mut self, seen: &Seen) {
        let End::Answered(answer) = &seen.end else {
            return;
        };
        if matches!(answer.status, 408 | 421 | 429 | 503) && self.ran(seen) {
            let what = format!("was answered {} and ran", answer.status);
            self.note("not run", seen, &what);
        }
        if answer.status != 200 {
            return;
        }
        let wrong = match seen.kind {
            Kind::Gather => self.gathered_wrong(seen, answer),
            Kind::Fetch | Kind::File => self.relayed_wrong(seen, answer),
        };
        if let Some(wrong) = wrong {
            self.note("whole and own answers", seen, &wrong);
        }
    }

    fn gathered_wrong(&self, seen: &Seen, answer: &Answer) -> Option<String> {
        let mut bodies: BTreeMap<&str, &[u8]> = BTreeMap::new();
        for part in answer.parts() {
            match self.signed.get(part) {
                Some(signed) if signed.request == seen.id && signed.whole => {
                    if bodies.insert(signed.service, signed.body).is_some() {
                        return Some(format!("has two parts of {}", signed.service));
                    }
                }
                _ => return Some(format!("has part {part}, which is no answer to it")),
            }
        }
        if bodies.len() + answer.missing() != self.shards {
            return Some(format!("has {} parts, {} missing", bodies.len(), answer.missing()));
        }
        if (bodies.len() as f64) < self.shards as f64 * MIN_COVERAGE {
            return Some(format!("has only {} parts", bodies.len()));
        }
        let expected = greatest(bodies.into_values().map(<[u8]>::to_vec), TOP_RECORDS);
        (answer.body != expected).then(|| "has other records than its parts".to_owned())
    }

    fn relayed_wrong(&self, seen: &Seen, answer: &Answer) -> Option<String> {
        let signed = answer.signature().and_then(|signature| self.signed.get(signature));
        match signed {
            Some(signed) if signed.request == seen.id && signed.whole => {
                (answer.body != signed.body).then(|| "has another body".to_owned())
            }
            _ => Some("is no searcher's answer to it".to_owned()),
        }
    }

    /// Checks that a host that is in order does not hold a request beyond its time.
    fn check_held(&mut self, seen: &Seen) {
        let timeout = if seen.kind == Kind::Gather { GATHER_TIMEOUT } else { SINGLE_TIMEOUT };
        let took = seen.ended.saturating_duration_since(seen.sent);
        let sent = !matches!(seen.end, End::NotSent | End::Left);
        let since = seen.sent.checked_sub(STABLE).unwrap_or(seen.sent);
        let own =
            |target| matches!(target, Target::Host(host) | Target::Stop(host) if host == seen.host);
        if sent && took > timeout + HELD_BOUND && !self.is_disturbed(since, seen.ended, own) {
            self.note("held requests", seen, &format!("was held for {took:?}"));
        }
    }

    /// Checks that a planned stop without any fault near it cuts no request.
    fn check_planned_stop(&mut self, seen: &Seen) {
        if !matches!(seen.end, End::Closed | End::Nothing) {
            return;
        }
        let since = seen.sent.checked_sub(STABLE).unwrap_or(seen.sent);
        let fault = |target| !matches!(target, Target::Stop(_));
        let stop = |target| target == Target::Stop(seen.host);
        let stopped = self.is_disturbed(seen.sent, seen.ended, stop);
        if !stopped || self.is_disturbed(since, seen.ended, fault) {
            return;
        }
        let took = seen.ended.saturating_duration_since(seen.sent);
        if self.ran(seen) || took > READ_BY {
            self.note("planned stops", seen, &format!("was cut after {took:?}"));
        }
    }

    fn ran(&self, seen: &Seen) -> bool {
        let own =
            |reached: &&Reached<'_>| reached.arrival.headers.get("request-id") == Some(&seen.id);
        self.reached.iter().filter(own).any(|reached| reached.arrival.ran)
    }

    fn is_disturbed(
        &self,
        from: Instant,
        until: Instant,
        concerns: impl Fn(Target) -> bool,
    ) -> bool {
        let overlaps =
            |event: &&Event| event.from <= until && event.until.is_none_or(|end| end >= from);
        self.history.events.iter().filter(overlaps).any(|event| concerns(event.target))
    }

    fn note(&mut self, promise: &'static str, seen: &Seen, what: &str) {
        let case = format!("request {} at host {} {what}: {:?}", seen.id, seen.host, status(seen));
        self.broken.entry(promise).or_default().push(case);
    }

    fn add(&mut self, broken: Vec<(&'static str, String)>) {
        for (promise, case) in broken {
            self.broken.entry(promise).or_default().push(case);
        }
    }
}

/// Returns the id of the request that arrived, empty if it has none.
fn id_of(arrival: &Arrival) -> &str {
    arrival.headers.get("request-id").map_or("", String::as_str)
}

/// Returns how a request ended, in short.
fn status(seen: &Seen) -> String {
    match &seen.end {
        End::Answered(answer) => format!("{} {}", answer.status, seen.path),
        other => format!("{other:?} {}", seen.path),
    }
}
