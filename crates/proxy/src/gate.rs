//! What a gatekeeper holds, as one state machine: requests are routed, their keys checked, their tenants counted.

use crate::budget::Budget;
use crate::concurrency_limits::ConcurrencyLimits;
use crate::control::{Change, Control};
use crate::drain::Drain;
use crate::pool::header_names;
use crate::servers::Servers;
use crate::split::Splits;
use crate::tenants::Tenants;
use crate::Millis;
use granitelead_common::configuration::{self, Configuration, Route};
use granitelead_common::error_kinds::ErrorKind;
use granitelead_common::settings::Bounds;
use granitelead_control_protocol::messages::{Document, Revision, ToGatekeeper, ToMarker};
use hyper::header::{HeaderMap, AUTHORIZATION};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

/// Time that is kept of a request's for its answer to reach the client.
const MARGIN: Millis = 5;

/// What a request is allowed.
#[derive(Clone, Debug)]
pub struct Pass {
    /// The configuration that it is handled by, to its end.
    pub configuration: Rc<Configuration>,
    /// Its service.
    pub service: String,
    /// Its tenant's name.
    pub tenant: Option<String>,
    /// Its rank.
    pub priority: u32,
    /// Until when the system may take.
    pub deadline: Millis,
    /// Its route: host and place.
    host: String,
    place: usize,
}

impl Pass {
    /// Its route.
    pub fn route(&self) -> &Route {
        &self.configuration.hosts[&self.host][self.place]
    }
}

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What it is answered with.
    pub kind: ErrorKind,
    /// When it would be let in, where that is known.
    pub wait: Option<Millis>,
}

impl From<ErrorKind> for Refusal {
    fn from(kind: ErrorKind) -> Refusal {
        Refusal { kind, wait: None }
    }
}

/// What a gatekeeper holds.
pub struct Gate {
    /// The configuration in force.
    pub configuration: Option<Rc<Configuration>>,
    /// Its bytes, of which the next one may be a difference.
    document: Option<Document>,
    /// The servers.
    pub servers: Servers,
    /// The tenants.
    pub tenants: Tenants,
    /// Which of its services each route goes to next.
    splits: Splits,
    /// How much each service may have under way from here.
    pub room: ConcurrencyLimits,
    /// Further tries.
    pub budget: Budget,
    /// The sessions with markers.
    pub control: Control,
    /// Whether a marker has told all that it knows.
    pub whole: bool,
    /// How the process ends, once it has been told to.
    pub drain: Option<Drain>,
    rng: fastrand::Rng,
}

impl Gate {
    /// One that knows nothing yet.
    pub fn new(control: Control, zone: &str, bounds: &Bounds, seed: u64) -> Gate {
        let window = bounds.retry_window.as_millis() as Millis;
        Gate {
            configuration: None,
            document: None,
            servers: Servers::new(zone, seed),
            tenants: Tenants::new(seed ^ 2, bounds.quota_window.as_millis() as Millis),
            splits: Splits::default(),
            room: ConcurrencyLimits::default(),
            budget: Budget::new(bounds.retry_ratio, bounds.retry_slack, window),
            control,
            whole: false,
            drain: None,
            rng: fastrand::Rng::with_seed(seed ^ 1),
        }
    }

    /// Whether clients may come: it has a configuration and the servers, and stays.
    pub fn is_ready(&self) -> bool {
        self.whole && self.configuration.is_some() && self.drain.is_none()
    }

    /// What tells the configuration in force from all others.
    pub fn revision(&self) -> Option<Revision> {
        self.document.as_ref().map(Document::revision)
    }

    /// What a marker told changes. Gives what to say to markers.
    pub fn take(&mut self, now: Millis, from: Ipv4Addr, change: Change) -> Vec<(Ipv4Addr, ToMarker)> {
        match change {
            Change::Configuration(document) => return self.put_in_force(from, document),
            Change::Difference(difference) => {
                if let Some(has) = self.has(difference.to.version) {
                    return vec![(from, ToMarker::InForce(has))];
                }
                match self.document.as_ref().map(|document| difference.apply(document)) {
                    Some(Ok(document)) => return self.put_in_force(from, document),
                    Some(Err(fault)) => log::info!("a change from {from}, which is wanted whole: {fault}"),
                    None => log::info!("a change from {from} where nothing is in force"),
                }
                return vec![(from, ToMarker::RequestFull(self.revision()))];
            }
            Change::Servers(told) => self.servers.take(now, told),
            Change::Whole => self.whole = true,
            Change::Gatekeepers(n, missed) => {
                self.budget.share(n);
                self.tenants.share(now, n, missed);
            }
            Change::Recent(recent) => self.tenants.begin_from(now, &recent),
            Change::Others(news) => self.tenants.hear(now, &news),
        }
        Vec::new()
    }

    /// What is in force, where it is not older than this.
    fn has(&self, version: u32) -> Option<Revision> {
        self.document.as_ref().filter(|held| held.version >= version).map(Document::revision)
    }

    /// A configuration, checked whole, unless a newer one is in force: all markers are told, so that none tells it again.
    fn put_in_force(&mut self, from: Ipv4Addr, document: Document) -> Vec<(Ipv4Addr, ToMarker)> {
        if let Some(has) = self.has(document.version) {
            return vec![(from, ToMarker::InForce(has))];
        }
        match configuration::parse(&document.bytes) {
            Ok(read) if read.version != document.version => {
                log::error!("version {:08x} was told as {:08x}", read.version, document.version);
                Vec::new()
            }
            Ok(read) => {
                self.configuration = Some(Rc::new(read));
                let has = ToMarker::InForce(document.revision());
                self.document = Some(document);
                self.control.tell_all(&has)
            }
            Err(faults) => {
                // Markers check the same way before they take one in.
                log::error!("a configuration that can't be used: {faults}");
                Vec::new()
            }
        }
    }

    /// Routes a request, checks its key, and counts it for its tenant.
    ///
    /// # Errors
    ///
    /// What it is answered with instead.
    pub fn admit(
        &mut self,
        now: Millis,
        host: &str,
        path: &str,
        headers: &HeaderMap,
    ) -> Result<Pass, Refusal> {
        let Some(configuration) = self.configuration.clone() else { return Err(ErrorKind::NotReady.into()) };
        let route = configuration.route(host, path).ok_or(Refusal::from(ErrorKind::Unknown))?;
        let tenant = if configuration.requires_key {
            let key = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
            let key = key.and_then(|value| value.split_once(' '));
            let bearer =
                key.filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer")).map(|(_, key)| key.trim());
            match bearer.and_then(|key| configuration.keys.get(key)) {
                Some(tenant) => Some(&configuration.tenants[*tenant]),
                None if route.public => None,
                None => return Err(ErrorKind::UnknownKey.into()),
            }
        } else {
            None
        };
        let id = headers.get(header_names::ATTEMPT_ID).is_some_and(|id| !id.is_empty());
        if !id {
            return Err(ErrorKind::Malformed.into());
        }
        let told =
            headers.get(header_names::DEADLINE).and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        let time = told.map_or(route.timeout, Duration::from_millis).min(route.timeout);
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let place = configuration.hosts[&host].iter().position(|r| r.prefix == route.prefix).unwrap_or(0);
        let dice = self.rng.f64();
        let service = self.splits.next(configuration.version, &host, place, route, dice);
        let service = service.and_then(|place| configuration.services.get(place));
        let service =
            service.map(|service| service.name.clone()).ok_or(Refusal::from(ErrorKind::Overloaded))?;
        let mut deadline = now + (time.as_millis() as Millis).saturating_sub(MARGIN);
        if let Some(drain) = &self.drain {
            let aim = route.target.as_millis() as Millis;
            let usual = self.servers.typical(&service, aim).map_or(aim, |usual| usual as Millis);
            deadline = drain.deadline(now, deadline, usual).ok_or(Refusal::from(ErrorKind::Overloaded))?;
        }
        let pass = Pass {
            service,
            tenant: tenant.map(|t| t.name.clone()),
            priority: tenant.and_then(|t| t.priority).unwrap_or(route.priority),
            deadline,
            host,
            place,
            configuration: configuration.clone(),
        };
        if let Some(tenant) = tenant {
            if let Some(wait) = self.tenants.beyond(now, tenant) {
                return Err(Refusal { kind: ErrorKind::Quota, wait: Some(wait) });
            }
            self.control.add(&tenant.name);
        }
        Ok(pass)
    }

    /// A marker says something. Gives what to say, and to whom.
    pub fn on_down(&mut self, now: Millis, ip: Ipv4Addr, word: ToGatekeeper) -> Vec<(Ipv4Addr, ToMarker)> {
        let (change, mut say) = self.control.take(now, ip, word);
        if let Some(change) = change {
            say.extend(self.take(now, ip, change));
        }
        self.take_due(now, &mut say);
        say
    }

    /// Takes in what markers told before it was to be taken.
    fn take_due(&mut self, now: Millis, say: &mut Vec<(Ipv4Addr, ToMarker)>) {
        while let Some((ip, change)) = self.control.due() {
            say.extend(self.take(now, ip, change));
        }
    }

    /// What is to be told of what was let in; and whether what the others let in is known.
    pub fn on_batch(&mut self, now: Millis) -> Vec<(Ipv4Addr, ToMarker)> {
        let mut say = self.control.look(now);
        self.take_due(now, &mut say);
        if let Some((all, missed)) = self.control.members() {
            self.budget.share(all);
            self.tenants.share(now, all, missed);
        }
        self.tenants.touch(now, self.control.in_touch(now));
        say.extend(self.control.batch(now));
        say
    }

    /// When to come back after a refusal, ms: after what is known to be needed, or a part of the aim; drawn, so that
    /// nothing returns in step.
    pub fn come_back(&mut self, aim: Millis, wait: Option<Millis>) -> Millis {
        let least = wait.unwrap_or((aim / 8).clamp(5, 250));
        least + self.rng.u64(0..=(aim / 4).clamp(10, 500))
    }
}
