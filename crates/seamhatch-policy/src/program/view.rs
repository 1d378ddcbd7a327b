//! What a policy program sees: requests with their route and tenant, and servers, as maps of the script language.

use crate::document::RouteAttributes;
use crate::tenant::Tenant;
use rhai::{Dynamic, Map};
use std::collections::BTreeMap;

/// What a policy sees of a request.
#[derive(Debug, Clone, Default)]
pub struct PolicyRequest {
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark.
    pub query: String,
    /// Service that it is routed to.
    pub service: String,
    /// Header fields from outside, names in lower case.
    pub headers: BTreeMap<String, String>,
    /// The route that it takes.
    pub route: RouteView,
    /// The tenant that sends it.
    pub tenant: TenantView,
}

/// What a policy sees of a tenant.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TenantView {
    /// Its name; empty for a request without a key.
    pub name: String,
    /// Order of importance of its requests; that of their route where there is none.
    pub rank: Option<u8>,
}

impl TenantView {
    /// What a policy sees of a request's tenant.
    #[must_use]
    pub fn of(tenant: Option<&Tenant>) -> Self {
        tenant.map_or_else(Self::default, |tenant| Self { name: tenant.name.clone(), rank: tenant.rank })
    }

    fn to_map(&self) -> Map {
        let mut map = rank_map(self.rank);
        map.insert("name".into(), self.name.clone().into());
        map
    }
}

/// What depends on a tenant's rank alone.
fn rank_map(rank: Option<u8>) -> Map {
    let mut map = Map::new();
    map.insert("rank".into(), rank.map_or(Dynamic::UNIT, |rank| Dynamic::from(i64::from(rank))));
    map
}

/// What a policy sees of a route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteView {
    /// Its name; empty where it has none.
    pub name: String,
    /// What the operator says of its requests.
    pub attributes: RouteAttributes,
}

impl RouteView {
    fn to_map(&self) -> Map {
        fn optional(value: Option<u64>) -> Dynamic {
            value.map_or(Dynamic::UNIT, |value| Dynamic::from(value as i64))
        }
        let attributes = self.attributes;
        let mut map = Map::new();
        map.insert("name".into(), self.name.clone().into());
        map.insert("repeatable".into(), attributes.repeatable.map_or(Dynamic::UNIT, Dynamic::from));
        map.insert("rank".into(), optional(attributes.rank.map(u64::from)));
        map.insert("objective_ms".into(), optional(attributes.objective_ms));
        map.insert("timeout_ms".into(), optional(attributes.timeout_ms));
        map.insert("dispatches".into(), optional(attributes.dispatches.map(u64::from)));
        map
    }
}

/// A request of which only its route, its service and its tenant's rank are known.
pub(super) fn route_map(route: &RouteView, service: &str, tenant_rank: Option<u8>) -> Map {
    let mut map = Map::new();
    map.insert("service".into(), service.into());
    map.insert("route".into(), route.to_map().into());
    map.insert("tenant".into(), rank_map(tenant_rank).into());
    map
}

impl PolicyRequest {
    pub(super) fn to_map(&self) -> Map {
        let headers: Map =
            self.headers.iter().map(|(name, value)| (name.into(), Dynamic::from(value.clone()))).collect();
        let mut map = Map::new();
        map.insert("method".into(), self.method.clone().into());
        map.insert("path".into(), self.path.clone().into());
        map.insert("query".into(), self.query.clone().into());
        map.insert("service".into(), self.service.clone().into());
        map.insert("headers".into(), headers.into());
        map.insert("route".into(), self.route.to_map().into());
        map.insert("tenant".into(), self.tenant.to_map().into());
        map
    }

    /// The order of importance that the operators' document gives it: a tenant's goes before its route's.
    pub(super) fn rank(&self) -> Option<u8> {
        self.tenant.rank.or(self.route.attributes.rank)
    }
}

/// What a policy sees of a server when it decides whether to stop sending.
#[derive(Debug, Clone, Default)]
pub struct ServerView {
    /// Service of the server.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Slots it reports.
    pub slots: u32,
    /// Work it has, running and waiting, as last reported.
    pub load: u32,
    /// Calls to it lost in a row.
    pub losses: u32,
}

impl ServerView {
    pub(super) fn to_map(&self) -> Map {
        let mut map = Map::new();
        map.insert("service".into(), self.service.clone().into());
        map.insert("zone".into(), self.zone.clone().into());
        map.insert("slots".into(), i64::from(self.slots).into());
        map.insert("load".into(), i64::from(self.load).into());
        map.insert("losses".into(), i64::from(self.losses).into());
        map
    }
}
