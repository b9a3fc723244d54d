//! A ring of preallocated files holding a log of records.
use crate::scan::{scan, sum, Found, Sort, HEAD, MAGIC, REC};
use snafu::{ResultExt, Snafu};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

#[derive(Debug, Snafu)]
pub enum RingProblem {
    #[snafu(display("{}: {source}", path.display()))]
    Disk { path: PathBuf, source: io::Error },
    #[snafu(display("{}: damaged at byte {at}, with good records behind it", path.display()))]
    Damaged { path: PathBuf, at: u64 },
    #[snafu(display("{}: the log breaks off before a later file", path.display()))]
    Missing { path: PathBuf },
    #[snafu(display("the ring is full of records still needed"))]
    Full,
    #[snafu(display("{} has {is} bytes, the settings say {size}: a ring keeps the size it was made with", path.display()))]
    OtherSize { path: PathBuf, is: u64, size: u64 },
    #[snafu(display("a record of {size} bytes does not fit a file of the ring"))]
    TooLarge { size: usize },
}

type Result<T> = std::result::Result<T, RingProblem>;

/// Invariant: segment `n` lies in file `n % files`; the needed ones are
/// `live ..= seg`, so never more than there are files.
pub struct Ring {
    dir: PathBuf,
    files: Vec<File>,
    size: u64,
    seg: u64,
    live: u64,
    at: u64,
    rec: u64,
    /// The base was written but not synced: what it frees is still needed.
    pending_live: Option<u64>,
    /// The segment has its seal; whatever comes begins the next one.
    sealed: bool,
}

/// Whole or not there: filled under another name first.
fn preallocate(path: &Path, size: u64) -> io::Result<()> {
    let new = path.with_extension("new");
    let f = File::create(&new)?;
    f.write_all_at(&vec![0u8; size as usize], 0)?;
    f.sync_all()?;
    std::fs::rename(&new, path)
}

impl Ring {
    /// Opens the ring, making it if need be, and reads back all that counts.
    pub fn open(dir: &Path, files: usize, size: u64) -> Result<(Ring, Vec<Vec<u8>>)> {
        let at = |p: &Path| p.to_path_buf();
        std::fs::create_dir_all(dir).context(DiskSnafu { path: at(dir) })?;
        let mut fs = vec![];
        for i in 0..files {
            let path = dir.join(format!("ring-{i}"));
            if !path.exists() {
                preallocate(&path, size).context(DiskSnafu { path: at(&path) })?;
            }
            let f = OpenOptions::new()
                .read(true)
                .write(true)
                .open(&path)
                .context(DiskSnafu { path: at(&path) })?;
            let is = f.metadata().context(DiskSnafu { path: at(&path) })?.len();
            if is != size {
                return OtherSizeSnafu { path, is, size }.fail();
            }
            fs.push(f);
        }
        File::open(dir).and_then(|d| d.sync_all()).context(DiskSnafu { path: at(dir) })?;
        let mut ring = Ring {
            dir: at(dir),
            files: fs,
            size,
            seg: 0,
            live: 0,
            at: 0,
            rec: 0,
            pending_live: None,
            sealed: false,
        };
        let recs = ring.recover()?;
        Ok((ring, recs))
    }

    fn path(&self, seg: u64) -> PathBuf {
        self.dir.join(format!("ring-{}", seg as usize % self.files.len()))
    }

    fn recover(&mut self) -> Result<Vec<Vec<u8>>> {
        let mut found = vec![];
        for (i, f) in self.files.iter().enumerate() {
            let mut buf = vec![0u8; self.size as usize];
            f.read_exact_at(&mut buf, 0).context(DiskSnafu { path: self.path(i as u64) })?;
            found.extend(scan(&buf).filter(|s| s.seg as usize % self.files.len() == i));
        }
        found.sort_by_key(|f| f.seg);
        // A segment begun for a base that never got down whole does not count.
        let scale_model = |f: &Found| f.live == f.seg && f.recs.first().is_none_or(|r| r.1 != Sort::Base);
        let torn_start = |f: &Found| scale_model(f) && !f.broken;
        while found.last().is_some_and(torn_start) {
            found.pop();
        }
        let Some(last) = found.last() else { return Ok(vec![]) };
        let (live, top) = (last.live, last.seg);
        let mut out = vec![];
        for n in live..=top {
            let f = found.iter().find(|f| f.seg == n);
            let f = f.ok_or_else(|| RingProblem::Missing { path: self.path(n) })?;
            let sealed = f.recs.last().is_some_and(|r| r.1 == Sort::Seal);
            if f.broken || (n < top && !sealed) || (n == live && scale_model(f)) {
                return DamagedSnafu { path: self.path(n), at: f.end }.fail();
            }
            for (no, sort, data) in &f.recs {
                self.rec = *no + 1;
                match sort {
                    Sort::Base => out = vec![data.clone()],
                    Sort::Plain => out.push(data.clone()),
                    Sort::Seal => (),
                }
            }
        }
        self.seg = top;
        self.live = live;
        self.at = last.end;
        self.sealed = last.recs.last().is_some_and(|r| r.1 == Sort::Seal);
        Ok(out)
    }

    fn put(&mut self, sort: Sort, data: &[u8]) -> Result<()> {
        let mut b = Vec::with_capacity(REC + data.len());
        b.push(sort as u8);
        b.extend((data.len() as u32).to_le_bytes());
        b.extend(self.rec.to_le_bytes());
        let c = sum(self.seg, &b, data);
        b.extend(c.to_le_bytes());
        b.extend(data);
        self.file().write_all_at(&b, self.at).context(DiskSnafu { path: self.path(self.seg) })?;
        self.at += b.len() as u64;
        self.rec += 1;
        Ok(())
    }

    fn file(&self) -> &File {
        &self.files[self.seg as usize % self.files.len()]
    }

    /// Begins the next segment; `live` is the first one needed from then on.
    /// One file is kept back for a base, so that a full ring can be emptied.
    fn next(&mut self, live: u64) -> Result<()> {
        let spare = (live <= self.seg) as u64;
        if self.seg + 1 + spare - self.live >= self.files.len() as u64 {
            return FullSnafu.fail();
        }
        self.seg += 1;
        let mut h = MAGIC.to_vec();
        h.extend(self.seg.to_le_bytes());
        h.extend(live.to_le_bytes());
        let c = sum(0, &h, &[]);
        h.extend(c.to_le_bytes());
        self.file().write_all_at(&h, 0).context(DiskSnafu { path: self.path(self.seg) })?;
        self.at = HEAD as u64;
        self.sealed = false;
        Ok(())
    }

    fn seal(&mut self) -> Result<()> {
        if self.at >= HEAD as u64 && !self.sealed {
            self.put(Sort::Seal, &[])?;
            let path = self.path(self.seg);
            self.file().sync_data().context(DiskSnafu { path })?;
            self.sealed = true;
        }
        Ok(())
    }

    /// Appends a record; it counts only once `sync` has returned. Invariant: the
    /// caller syncs before the next `save`, so a good record behind a bad one
    /// is always damage, never a write that was cut short.
    pub fn save(&mut self, data: &[u8]) -> Result<()> {
        let need = (2 * REC + data.len()) as u64;
        if need + HEAD as u64 > self.size {
            return TooLargeSnafu { size: data.len() }.fail();
        }
        if self.at == 0 {
            return self.base(data);
        }
        if self.sealed || self.at + need > self.size {
            self.seal()?;
            self.next(self.live)?;
        }
        self.put(Sort::Plain, data)
    }

    /// Appends a record that stands for all before it.
    pub fn base(&mut self, data: &[u8]) -> Result<()> {
        let need = (2 * REC + data.len()) as u64;
        if need + HEAD as u64 > self.size {
            return TooLargeSnafu { size: data.len() }.fail();
        }
        self.seal()?;
        let live = self.seg + 1;
        self.next(live)?;
        self.pending_live = Some(live);
        self.put(Sort::Base, data)?;
        self.sync()
    }

    pub fn sync(&mut self) -> Result<()> {
        let path = self.path(self.seg);
        self.file().sync_data().context(DiskSnafu { path })?;
        self.live = self.pending_live.take().unwrap_or(self.live);
        Ok(())
    }
}
