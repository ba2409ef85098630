import { crc32 } from 'node:zlib'

/** Bytes before the payload of a record: its length and its checksum, both 32 bits. */
const recordHeaderBytes = 8

/** The first bytes of each file: a name and the version of the format. */
export const fileHeader = Buffer.from('HEATHERDRUM-LOG-1\n')

/** The records of a file and where its good part ends. */
export interface ReadRecords {
  readonly payloads: readonly string[]
  /** Offset of the first byte which belongs to no whole record. */
  readonly goodBytes: number
  /** Whether bytes follow which cannot be a record that was being written. */
  readonly isDamaged: boolean
}

/** Encodes records for a file. */
export function encodeRecords (payloads: readonly string[]): Buffer {
  return Buffer.concat(payloads.map(encodeRecord))
}

/** Reads the records after the file header. */
export function decodeRecords (bytes: Buffer): ReadRecords {
  if (!bytes.subarray(0, fileHeader.length).equals(fileHeader)) {
    // A header which was cut short was never synced, so no record followed it.
    return { payloads: [], goodBytes: 0, isDamaged: bytes.length >= fileHeader.length }
  }
  const payloads: string[] = []
  let offset = fileHeader.length
  while (offset + recordHeaderBytes <= bytes.length) {
    const payload = readRecord(bytes, offset)
    if (payload === undefined) break
    payloads.push(payload.toString('utf8'))
    offset += recordHeaderBytes + payload.length
  }
  return { payloads, goodBytes: offset, isDamaged: hasRecordAfter(bytes, offset) }
}

function encodeRecord (payload: string): Buffer {
  const body = Buffer.from(payload, 'utf8')
  const record = Buffer.allocUnsafe(recordHeaderBytes + body.length)
  record.writeUInt32LE(body.length, 0)
  record.writeUInt32LE(crc32(body), 4)
  body.copy(record, recordHeaderBytes)
  return record
}

function readRecord (bytes: Buffer, offset: number): Buffer | undefined {
  const length = bytes.readUInt32LE(offset)
  const start = offset + recordHeaderBytes
  if (length === 0 || start + length > bytes.length) return undefined
  const payload = bytes.subarray(start, start + length)
  return crc32(payload) === bytes.readUInt32LE(offset + 4) ? payload : undefined
}

/** A good record after a bad one means that the bad one was whole once: damage, not a torn tail. */
function hasRecordAfter (bytes: Buffer, badOffset: number): boolean {
  for (let offset = badOffset + 1; offset + recordHeaderBytes < bytes.length; offset += 1) {
    if (readRecord(bytes, offset) !== undefined) return true
  }
  return false
}
