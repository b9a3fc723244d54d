//! A deployment's own mix of requests, from the rehearsal part of its settings.
use control_state::{parse_row, Kind, Row};
use primitives::{Addr, JsonError, Look, Reason};
use std::time::Duration;
use tinyjson::JsonValue;

/// A stub origin to be started.
#[derive(Clone, Debug)]
pub struct OriginSettings {
    /// Where it listens.
    pub at: Addr,
    /// The service that it serves.
    pub svc: String,
    /// Region and zone.
    pub zone: String,
    /// Concurrent requests that it claims to hold.
    pub cap: u32,
    /// How long an answer takes.
    pub work: Duration,
}

/// One row of the table.
#[derive(Clone, Debug)]
pub struct TableRow {
    /// The lane.
    pub lane: String,
    /// The service.
    pub svc: String,
    /// The row itself.
    pub row: Row,
    /// The row as the settings have it, to be sent to a controller.
    pub json: JsonValue,
}

/// The requests of one lane.
#[derive(Clone, Debug)]
pub struct LaneShare {
    /// The lane.
    pub lane: String,
    /// The kind of its requests.
    pub kind: Kind,
    /// Its part of all requests, relative to the other lanes'.
    pub share: u64,
    /// How many different objects are asked for.
    pub objects: u64,
}

/// What callers send and who serves it.
#[derive(Clone, Debug)]
pub struct Mix {
    /// The stub origins.
    pub origins: Vec<OriginSettings>,
    /// The table that the controllers are given.
    pub table: Vec<TableRow>,
    /// Requests per second.
    pub rate: u64,
    /// The lanes that are asked.
    pub shares: Vec<LaneShare>,
    /// Percentage of keyed requests that are sent again through another edge.
    pub again: u64,
}

/// Reads the rehearsal part of a settings file. An error names the offending field.
pub fn read_mix(look: &Look) -> Result<Mix, JsonError> {
    look.only(&["origins", "table", "rate", "again", "mix"])?;
    let table: Vec<TableRow> = read_list(look, "table", read_table_row)?;
    Ok(Mix {
        origins: read_list(look, "origins", read_origin)?,
        shares: read_list(look, "mix", |share| read_share(share, &table))?,
        rate: look.field("rate")?.num(1, 100_000)?,
        again: look.field("again")?.num(0, 100)?,
        table,
    })
}

fn read_list<T>(
    look: &Look,
    name: &str,
    read: impl Fn(&Look) -> Result<T, JsonError>,
) -> Result<Vec<T>, JsonError> {
    look.field(name)?.list()?.iter().map(read).collect()
}

fn read_origin(look: &Look) -> Result<OriginSettings, JsonError> {
    look.only(&["service", "address", "zone", "cap", "work_ms"])?;
    Ok(OriginSettings {
        at: look.field("address")?.parsed("an address")?,
        svc: look.field("service")?.name()?,
        zone: look.field("zone")?.name()?,
        cap: look.field("cap")?.num(1, 1_000_000)? as u32,
        work: Duration::from_millis(look.field("work_ms")?.num(0, 60_000)?),
    })
}

fn read_table_row(look: &Look) -> Result<TableRow, JsonError> {
    Ok(TableRow {
        lane: look.field("lane")?.name()?,
        svc: look.field("service")?.name()?,
        row: parse_row(look)?,
        json: look.v.clone(),
    })
}

fn read_share(look: &Look, table: &[TableRow]) -> Result<LaneShare, JsonError> {
    look.only(&["lane", "share", "objects"])?;
    let lane = look.field("lane")?;
    let name = lane.name()?;
    let kinds = table.iter().filter(|row| row.lane == name).map(|row| row.row.kind);
    let Some(kind) = kinds.max() else { return lane.bad(Reason::Unknown) };
    Ok(LaneShare {
        kind,
        lane: name,
        share: look.field("share")?.num(1, 100)?,
        objects: look.field("objects")?.num(1, 1_000_000)?,
    })
}

impl Mix {
    /// The services of a lane.
    pub fn services(&self, lane: &str) -> Vec<String> {
        self.table.iter().filter(|row| row.lane == lane).map(|row| row.svc.clone()).collect()
    }

    /// The ceiling of a service in requests per second, if it has a row.
    pub fn ceiling(&self, svc: &str) -> Option<u32> {
        self.table.iter().filter(|row| row.svc == svc).map(|row| row.row.ceiling).min()
    }
}
