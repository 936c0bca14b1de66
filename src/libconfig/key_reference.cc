#include "dotterelshed/key_reference.h"

#include "key_description.h"
#include "key_schema.h"

namespace dotterelshed {

namespace {

auto Code(std::string_view text) -> std::string {
  return text.empty() ? "" : "`" + std::string(text) + "`";
}

auto FormatRow(const pvt::KeySpec& key) -> std::string {
  auto type = pvt::DescribeType(key);
  const auto range = pvt::DescribeRange(key);
  if (!range.empty()) {
    type += ", " + range;
  }
  const auto fallback =
      key.m_required ? std::string("required") : Code(key.m_default);
  return "| " + Code(key.m_path) + " | " + type + " | " + fallback + " | " +
         std::string(key.m_meaning) + " |\n";
}

auto FormatTable(pvt::KeyTable keys) -> std::string {
  auto table =
      std::string("| key | value | default | meaning |\n|---|---|---|---|\n");
  for (const auto& key : keys) {
    table += FormatRow(key);
  }
  return table;
}

}  // namespace

auto FormatTextReference() -> std::string {
  return "# Keys of the operators' text\n\n"
         "Made by `dotterelctl reference text`; `.ci/check-docs` compares it "
         "with the code.\nThe text is JSON with comments. `[]` stands for each "
         "item of a list. Unknown keys are mistakes.\n\n" +
         FormatTable(pvt::DeskKeys()) +
         "\nBesides the keys themselves, `dotterelctl check` looks at what the "
         "parts say of each other:\nnames and addresses stand once, every "
         "name that is used is declared, services do not depend\non each "
         "other in a circle, each service has an endpoint, a model service "
         "has models and a\nplain one has none, and the text fits into " +
         std::to_string(kMaxConfigTextBytes) +
         " bytes as the platform stores it.\n";
}

auto FormatSettingsReference() -> std::string {
  return "# Keys of a process's settings\n\n"
         "Made by `dotterelctl reference settings`; `.ci/check-docs` compares "
         "it with the code.\nThe settings are JSON with comments, given by "
         "`dotterelshed --settings FILE`. Unknown keys\nare mistakes.\n\n" +
         FormatTable(pvt::SettingsKeys());
}

}  // namespace dotterelshed
