//! The state of a gatekeeper as one state machine: it routes requests, checks their API keys and applies
//! tenant quotas.

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

/// Part of a request's timeout that is reserved for its answer to reach the client.
const ANSWER_MARGIN: Millis = 5;

/// What an admitted request needs to be forwarded.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// The configuration that applies to the request until its end.
    pub configuration: Rc<Configuration>,
    /// The service.
    pub service: String,
    /// The tenant's name.
    pub tenant: Option<String>,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// When the request must be answered.
    pub deadline: Millis,
    /// The route: host and index.
    host: String,
    rule_index: usize,
}

impl AdmittedRequest {
    /// The route of the request.
    pub fn route(&self) -> &Route {
        &self.configuration.hosts[&self.host][self.rule_index]
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The error with which it is answered.
    pub kind: ErrorKind,
    /// The time until it would be admitted, ms, if known.
    pub retry_after: Option<Millis>,
}

impl From<ErrorKind> for Refusal {
    fn from(kind: ErrorKind) -> Refusal {
        Refusal { kind, retry_after: None }
    }
}

/// The state of a gatekeeper.
pub struct Gate {
    /// The configuration in force.
    pub configuration: Option<Rc<Configuration>>,
    /// Its document, the base of incremental changes.
    document: Option<Document>,
    /// The servers.
    pub servers: Servers,
    /// The tenants and their quotas.
    pub tenants: Tenants,
    /// Traffic splits: selects the service of a route for each request.
    splits: Splits,
    /// The limit on concurrent requests to each service from this gatekeeper.
    pub concurrency_limits: ConcurrencyLimits,
    /// The retry budget.
    pub budget: Budget,
    /// The sessions with markers.
    pub control: Control,
    /// Whether the initial transfer of state from a marker is complete.
    pub is_complete: bool,
    /// The shutdown schedule, once the process has been told to end.
    pub drain: Option<Drain>,
    rng: fastrand::Rng,
}

impl Gate {
    /// Creates the state of a gatekeeper that hasn't received anything.
    pub fn new(control: Control, zone: &str, bounds: &Bounds, seed: u64) -> Gate {
        let window = bounds.retry_window.as_millis() as Millis;
        Gate {
            configuration: None,
            document: None,
            servers: Servers::new(zone, seed),
            tenants: Tenants::new(seed ^ 2, bounds.quota_window.as_millis() as Millis),
            splits: Splits::default(),
            concurrency_limits: ConcurrencyLimits::default(),
            budget: Budget::new(bounds.retry_ratio, bounds.retry_slack, window),
            control,
            is_complete: false,
            drain: None,
            rng: fastrand::Rng::with_seed(seed ^ 1),
        }
    }

    /// Whether the gatekeeper accepts clients: it has a configuration and the servers, and isn't shutting
    /// down.
    pub fn is_ready(&self) -> bool {
        self.is_complete && self.configuration.is_some() && self.drain.is_none()
    }

    /// The revision that identifies the configuration in force.
    pub fn revision(&self) -> Option<Revision> {
        self.document.as_ref().map(Document::revision)
    }

    /// Applies a change that a marker sent. Returns the messages to send to markers.
    pub fn apply(&mut self, now: Millis, from: Ipv4Addr, change: Change) -> Vec<(Ipv4Addr, ToMarker)> {
        match change {
            Change::Configuration(document) => return self.put_in_force(from, document),
            Change::Difference(difference) => {
                if let Some(has) = self.revision_from(difference.to.version) {
                    return vec![(from, ToMarker::InForce(has))];
                }
                match self.document.as_ref().map(|document| difference.apply(document)) {
                    Some(Ok(document)) => return self.put_in_force(from, document),
                    Some(Err(fault)) => log::info!(
                        "can't apply the configuration difference from {from}, requesting the whole: {fault}"
                    ),
                    None => {
                        log::info!("configuration difference from {from}, but no configuration is in force")
                    }
                }
                return vec![(from, ToMarker::RequestFull(self.revision()))];
            }
            Change::Servers(updates) => self.servers.update(now, updates),
            Change::InitialSyncComplete => self.is_complete = true,
            Change::Gatekeepers(n, missed) => {
                self.budget.set_gatekeepers(n);
                self.tenants.set_gatekeepers(now, n, missed);
            }
            Change::RecentUse(recent) => self.tenants.replace_recent_use(now, &recent),
            Change::OthersUse(increments) => self.tenants.add_others_use(now, &increments),
        }
        Vec::new()
    }

    /// The revision in force, unless it is older than `version`.
    fn revision_from(&self, version: u32) -> Option<Revision> {
        self.document.as_ref().filter(|held| held.version >= version).map(Document::revision)
    }

    /// Validates a configuration and puts it in force, unless a newer one is. Tells all markers, so that none
    /// sends it again.
    fn put_in_force(&mut self, from: Ipv4Addr, document: Document) -> Vec<(Ipv4Addr, ToMarker)> {
        if let Some(has) = self.revision_from(document.version) {
            return vec![(from, ToMarker::InForce(has))];
        }
        match configuration::parse(&document.bytes) {
            Ok(parsed) if parsed.version != document.version => {
                log::error!(
                    "configuration {:08x} was announced as version {:08x}",
                    parsed.version,
                    document.version
                );
                Vec::new()
            }
            Ok(parsed) => {
                self.configuration = Some(Rc::new(parsed));
                let has = ToMarker::InForce(document.revision());
                self.document = Some(document);
                self.control.broadcast(&has)
            }
            Err(faults) => {
                // Markers apply the same validation before they accept a configuration.
                log::error!("invalid configuration: {faults}");
                Vec::new()
            }
        }
    }

    /// Routes a request, checks its API key, and counts it for its tenant.
    ///
    /// # Errors
    ///
    /// The refusal with which the request is answered.
    pub fn admit(
        &mut self,
        now: Millis,
        host: &str,
        path: &str,
        headers: &HeaderMap,
    ) -> Result<AdmittedRequest, Refusal> {
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
        let has_attempt_id = headers.get(header_names::ATTEMPT_ID).is_some_and(|id| !id.is_empty());
        if !has_attempt_id {
            return Err(ErrorKind::Malformed.into());
        }
        let requested =
            headers.get(header_names::DEADLINE).and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        let time = requested.map_or(route.timeout, Duration::from_millis).min(route.timeout);
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let rule_index =
            configuration.hosts[&host].iter().position(|r| r.prefix == route.prefix).unwrap_or(0);
        let initial_position = self.rng.f64();
        let service = self.splits.next(configuration.version, &host, rule_index, route, initial_position);
        let service = service.and_then(|index| configuration.services.get(index));
        let service =
            service.map(|service| service.name.clone()).ok_or(Refusal::from(ErrorKind::Overloaded))?;
        let mut deadline = now + (time.as_millis() as Millis).saturating_sub(ANSWER_MARGIN);
        if let Some(drain) = &self.drain {
            let target_latency = route.target.as_millis() as Millis;
            let usual_latency = self
                .servers
                .typical_latency(&service, target_latency)
                .map_or(target_latency, |usual_latency| usual_latency as Millis);
            deadline =
                drain.deadline(now, deadline, usual_latency).ok_or(Refusal::from(ErrorKind::Overloaded))?;
        }
        let pass = AdmittedRequest {
            service,
            tenant: tenant.map(|t| t.name.clone()),
            priority: tenant.and_then(|t| t.priority).unwrap_or(route.priority),
            deadline,
            host,
            rule_index,
            configuration: configuration.clone(),
        };
        if let Some(tenant) = tenant {
            if let Some(wait) = self.tenants.rate_limit(now, tenant) {
                return Err(Refusal { kind: ErrorKind::Quota, retry_after: Some(wait) });
            }
            self.control.count_admitted(&tenant.name);
        }
        Ok(pass)
    }

    /// Handles a message from a marker. Returns the messages to send, with their recipients.
    pub fn on_message(
        &mut self,
        now: Millis,
        ip: Ipv4Addr,
        message: ToGatekeeper,
    ) -> Vec<(Ipv4Addr, ToMarker)> {
        let (change, mut messages) = self.control.on_message(now, ip, message);
        if let Some(change) = change {
            messages.extend(self.apply(now, ip, change));
        }
        self.apply_deferred(now, &mut messages);
        messages
    }

    /// Applies the changes that were deferred and are due now.
    fn apply_deferred(&mut self, now: Millis, messages: &mut Vec<(Ipv4Addr, ToMarker)>) {
        while let Some((ip, change)) = self.control.next_deferred() {
            messages.extend(self.apply(now, ip, change));
        }
    }

    /// Runs the periodic work: updates the sessions' state and whether this gatekeeper is in sync. Returns
    /// the messages to send, among them the report of admitted requests.
    pub fn on_tick(&mut self, now: Millis) -> Vec<(Ipv4Addr, ToMarker)> {
        let mut messages = self.control.on_tick(now);
        self.apply_deferred(now, &mut messages);
        self.servers.on_tick(now);
        if let Some((all, missed)) = self.control.gatekeepers() {
            self.budget.set_gatekeepers(all);
            self.tenants.set_gatekeepers(now, all, missed);
        }
        self.tenants.set_in_sync(now, self.control.in_sync(now));
        messages.extend(self.control.usage_report(now));
        messages
    }

    /// The retry delay after a refusal, ms: the time that is known to be needed, or else a part of the target
    /// latency; with random jitter, so that clients don't come back at the same time.
    pub fn retry_delay(&mut self, target_latency: Millis, wait: Option<Millis>) -> Millis {
        let min_delay = wait.unwrap_or((target_latency / 8).clamp(5, 250));
        min_delay + self.rng.u64(0..=(target_latency / 4).clamp(10, 500))
    }
}
