//! The product's own laboratory: it plays the platform around the gatekeepers as its published pages describe it, to
//! try a version before it meets the real one. For trials only: no part of it runs beside a gatekeeper in service.

pub mod compare;
pub mod experiment;
pub mod fit;
pub mod history;
pub mod hollow;
pub mod judge;
pub mod loopback;
pub mod model;
pub mod oracle;
pub mod play;
pub mod queue;
pub mod report;
pub mod results;
pub mod world;
