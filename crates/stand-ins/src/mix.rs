//! A deployment's own mix of requests, from the rehearsal part of its settings.
use control_state::{read_row, Kind, Row};
use primitives::{Addr, Look, LookProblem};
use std::time::Duration;
use tinyjson::JsonValue;

#[derive(Clone, Debug)]
pub struct Patch {
    pub at: Addr,
    pub svc: String,
    pub zone: String,
    pub cap: u32,
    pub work: Duration,
}

#[derive(Clone, Debug)]
pub struct Cell {
    pub lane: String,
    pub svc: String,
    pub row: Row,
    pub json: JsonValue,
}

#[derive(Clone, Debug)]
pub struct Share {
    pub lane: String,
    pub kind: Kind,
    pub share: u64,
    pub objects: u64,
}

#[derive(Clone, Debug)]
pub struct Mix {
    pub origins: Vec<Patch>,
    pub table: Vec<Cell>,
    /// Requests a second.
    pub rate: u64,
    pub shares: Vec<Share>,
    /// Of a hundred keyed requests, how many are sent again by another edge.
    pub again: u64,
}

pub fn read_mix(l: &Look) -> Result<Mix, LookProblem> {
    l.only(&["origins", "table", "rate", "again", "mix"])?;
    let origin = |o: &Look| {
        o.only(&["service", "address", "zone", "cap", "work_ms"])?;
        Ok(Patch {
            at: o.field("address")?.parsed("an address")?,
            svc: o.field("service")?.name()?,
            zone: o.field("zone")?.name()?,
            cap: o.field("cap")?.num(1, 1_000_000)? as u32,
            work: Duration::from_millis(o.field("work_ms")?.num(0, 60_000)?),
        })
    };
    let cell = |c: &Look| {
        Ok(Cell {
            lane: c.field("lane")?.name()?,
            svc: c.field("service")?.name()?,
            row: read_row(c)?,
            json: c.v.clone(),
        })
    };
    let origins = l.field("origins")?.list()?.iter().map(origin).collect::<Result<Vec<_>, _>>()?;
    let table = l.field("table")?.list()?.iter().map(cell).collect::<Result<Vec<Cell>, _>>()?;
    let share = |s: &Look| {
        s.only(&["lane", "share", "objects"])?;
        let lane = s.field("lane")?;
        let name = lane.name()?;
        let kind = table.iter().filter(|c| c.lane == name).map(|c| c.row.kind).max();
        Ok(Share {
            kind: kind.map(Ok).unwrap_or_else(|| lane.bad(primitives::Reason::Unknown))?,
            lane: name,
            share: s.field("share")?.num(1, 100)?,
            objects: s.field("objects")?.num(1, 1_000_000)?,
        })
    };
    let shares = l.field("mix")?.list()?.iter().map(share).collect::<Result<Vec<_>, _>>()?;
    let rate = l.field("rate")?.num(1, 100_000)?;
    let again = l.field("again")?.num(0, 100)?;
    Ok(Mix { origins, table, rate, shares, again })
}

impl Mix {
    pub fn services(&self, lane: &str) -> Vec<String> {
        self.table.iter().filter(|c| c.lane == lane).map(|c| c.svc.clone()).collect()
    }
    pub fn ceiling(&self, svc: &str) -> Option<u32> {
        self.table.iter().filter(|c| c.svc == svc).map(|c| c.row.ceiling).min()
    }
}
