// Conversions between Cap'n Proto messages and plain values. Internal to this
// folder.
#pragma once

#include "chervilpass/rpc/generated/chervil.capnp.h"
#include "chervilpass/rpc/messages.h"

namespace chervilpass::rpc {

void Write(const CompletionRequest& value,
           schema::CompletionRequest::Builder to);
CompletionRequest Read(schema::CompletionRequest::Reader from);

void Write(const CompletionOutcome& value,
           schema::CompletionOutcome::Builder to);
CompletionOutcome Read(schema::CompletionOutcome::Reader from);

void Write(const ServiceRequest& value, schema::ServiceRequest::Builder to);
ServiceRequest Read(schema::ServiceRequest::Reader from);

void Write(const ServiceOutcome& value, schema::ServiceOutcome::Builder to);
ServiceOutcome Read(schema::ServiceOutcome::Reader from);

void Write(const ClaimState& value, schema::ClaimState::Builder to);
ClaimState Read(schema::ClaimState::Reader from);

void Write(const membership::Member& value, schema::Member::Builder to);
membership::Member Read(schema::Member::Reader from);

void Write(const quarantine::Strike& value, schema::Strike::Builder to);
quarantine::Strike Read(schema::Strike::Reader from);

void Write(const View& value, schema::View::Builder to);
View Read(schema::View::Reader from);

void Write(const ChangeRequest& value, schema::ChangeRequest::Builder to);
ChangeRequest Read(schema::ChangeRequest::Reader from);

void Write(const ChangeResult& value, schema::ChangeResult::Builder to);
ChangeResult Read(schema::ChangeResult::Reader from);

}  // namespace chervilpass::rpc
