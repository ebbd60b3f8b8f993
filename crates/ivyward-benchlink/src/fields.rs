//! Reads the little-endian fields of one record.

use crate::error::FrameError;
use ivyward_core::interface::{EndpointId, LoadReport};

/// Maximum number of values in a load report.
pub(crate) const MAX_REPORT_VALUES: usize = 4;

/// Reads fields from the bytes of one record. Errors name the kind of record and the position in the frame.
pub(crate) struct Fields<'a> {
    pub(crate) bytes: &'a [u8],
    /// The kind of record, for errors.
    pub(crate) what: &'static str,
    /// Position of the record in the frame, in bytes.
    pub(crate) start: usize,
}

impl<'a> Fields<'a> {
    pub(crate) fn array<const N: usize>(&self, at: usize) -> Result<[u8; N], FrameError> {
        let slice = self.bytes.get(at..at + N);
        slice
            .and_then(|slice| slice.try_into().ok())
            .ok_or(FrameError::CutShort {
                what: self.what,
                at: self.start + at,
            })
    }
    pub(crate) fn u8(&self, at: usize) -> Result<u8, FrameError> {
        Ok(self.array::<1>(at)?[0])
    }
    pub(crate) fn u16(&self, at: usize) -> Result<u16, FrameError> {
        Ok(u16::from_le_bytes(self.array(at)?))
    }
    pub(crate) fn u32(&self, at: usize) -> Result<u32, FrameError> {
        Ok(u32::from_le_bytes(self.array(at)?))
    }
    pub(crate) fn u64(&self, at: usize) -> Result<u64, FrameError> {
        Ok(u64::from_le_bytes(self.array(at)?))
    }
    pub(crate) fn f32(&self, at: usize) -> Result<f32, FrameError> {
        Ok(f32::from_le_bytes(self.array(at)?))
    }
    pub(crate) fn tokens(&self, at: usize) -> Result<f64, FrameError> {
        let value = self.f32(at)?;
        if value.is_finite() && value >= 0.0 {
            return Ok(f64::from(value));
        }
        Err(FrameError::NotATokenCount {
            what: self.what,
            value,
            at: self.start + at,
        })
    }
    pub(crate) fn endpoint(&self, at: usize) -> Result<EndpointId, FrameError> {
        let bytes: [u8; 6] = self.array(at)?;
        let mut id = [0; 8];
        id[2..].copy_from_slice(&bytes);
        Ok(EndpointId(u64::from_be_bytes(id)))
    }
    pub(crate) fn report(&self, at: usize) -> Result<LoadReport, FrameError> {
        let len = usize::from(self.u8(at)?);
        if len > MAX_REPORT_VALUES {
            return Err(FrameError::LongReport {
                what: self.what,
                len,
            });
        }
        let mut values = [0.0; MAX_REPORT_VALUES];
        for (i, value) in values.iter_mut().enumerate() {
            *value = self.f32(at + 1 + 4 * i)?;
        }
        Ok(LoadReport { len, values })
    }
}
