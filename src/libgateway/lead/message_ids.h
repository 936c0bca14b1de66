#ifndef DOTTERELSHED_MESSAGE_IDS_H_
#define DOTTERELSHED_MESSAGE_IDS_H_

#include <nlohmann/json.hpp>
#include <string>

#include "dotterelshed/byte_text.h"

/// @file
/// Ids in the JSON of messages between hosts. Callers and other writers choose
/// ids, so they may be any bytes.

namespace dotterelshed {

/// Writes the bytes of an id as text that JSON can hold.
template <typename Id>
auto WriteId(const Id& id) -> std::string {
  return EncodeText(id.value());
}

/// Reads what WriteId wrote.
/// Errors: throws nlohmann::json::exception if @p json is no string.
template <typename Id>
auto ReadId(const nlohmann::json& json) -> Id {
  return Id(DecodeText(json.get_ref<const std::string&>()));
}

}  // namespace dotterelshed

#endif  // DOTTERELSHED_MESSAGE_IDS_H_
