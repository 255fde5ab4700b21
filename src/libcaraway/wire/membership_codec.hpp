#pragma once

#include "libcaraway/membership/messages.hpp"
#include "libcaraway/wire/cbor_reader.hpp"

#include <QCborStreamWriter>

namespace caraway::wire
{

/// Writes the fields of one message as elements of the array that is already open in `out`.
void write_fields(QCborStreamWriter& out, const membership::probe& value);
void write_fields(QCborStreamWriter& out, const membership::probe_ack& value);
void write_fields(QCborStreamWriter& out, const membership::probe_nack& value);
void write_fields(QCborStreamWriter& out, const membership::probe_request& value);
void write_fields(QCborStreamWriter& out, const membership::sync_request& value);
void write_fields(QCborStreamWriter& out, const membership::sync_reply& value);
void write_fields(QCborStreamWriter& out, const membership::gossip& value);

void read_fields(cbor_reader& in, membership::probe& value);
void read_fields(cbor_reader& in, membership::probe_ack& value);
void read_fields(cbor_reader& in, membership::probe_nack& value);
void read_fields(cbor_reader& in, membership::probe_request& value);
void read_fields(cbor_reader& in, membership::sync_request& value);
void read_fields(cbor_reader& in, membership::sync_reply& value);
void read_fields(cbor_reader& in, membership::gossip& value);

}  // namespace caraway::wire
