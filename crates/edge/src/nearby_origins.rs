//! Reads of large bodies that bypass homes in other zones and regions.
use crate::edge::Edge;
use control_state::*;
use primitives::{Addr, Mono};

impl Edge {
    /// Whether an origin of the own zone or region is asked instead of a home beyond it: for large
    /// bodies, if there is no copy to revalidate.
    pub(crate) fn prefers_nearby_origin(&self, now: Mono, object: &Object, reach: Reach) -> bool {
        let here = &self.follow.env.zone;
        let is_nearby = |origin: &Origin| match reach {
            Reach::Zone => false,
            Reach::Region => origin.zone == *here,
            Reach::Deployment => origin.zone.region() == here.region(),
        };
        let usable =
            |(addr, origin): &(Addr, Origin)| is_nearby(origin) && self.fresh_until(addr, origin) > now;
        let Some(route) = self.table.route_of(&object.site, &object.path) else { return false };
        let origins = self.table.origins.get(&object.service).map_or(&[][..], Vec::as_slice);
        let renewable = || self.copies.peek(object).is_some_and(|c| c.whole.heads.has("etag"));
        // Within a region, origins with few slots are spared the fetches of several edges, and so
        // are origins that requests are queued for.
        let must_spare_origins = || {
            let slots: u32 = origins.iter().map(|(_, origin)| origin.cap).sum();
            reach == Reach::Region
                && ((slots as usize) < self.table.edges || self.has_queued_jobs(now, &object.service))
        };
        self.body_sizes.exceed(&route, self.env.policy.cross_region_body_limit)
            && !renewable()
            && origins.iter().any(usable)
            && !must_spare_origins()
    }
}
