#include "dotterelshed/trace.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace dotterelshed {

namespace {

using Json = nlohmann::ordered_json;

auto ToJson(const TraceHeader& header) -> Json {
  return {{"kind", "header"},
          {"version", header.m_version},
          {"name", header.m_name},
          {"endpoints", header.m_endpoints},
          {"engine_slots", header.m_engine_slots},
          {"kv_capacity", header.m_kv_capacity.value()},
          {"crest_begin_us", header.m_crest_begin.count()},
          {"crest_end_us", header.m_crest_end.count()}};
}

auto ToJson(const TraceClass& entry) -> Json {
  return {{"kind", "class"},
          {"id", entry.m_id.value()},
          {"weight", entry.m_weight},
          {"deadline_us", entry.m_deadline.count()}};
}

/// Omits most fields with default values to keep traces small: most lines are
/// calls.
auto ToJson(const TraceCall& call) -> Json {
  Json out{{"kind", "call"},
           {"at_us", call.m_at.count()},
           {"program", call.m_program.value()},
           {"turn", call.m_turn.value()},
           {"class", call.m_class.value()},
           {"prompt", call.m_prompt.value()},
           {"generated", call.m_generated.value()},
           {"max_generated", call.m_max_generated.value()}};
  if (call.m_parent) {
    out["parent"] = call.m_parent->value();
    out["parent_turn"] = call.m_parent_turn.value();
  }
  if (!call.m_service.empty()) {
    out["service"] = call.m_service.value();
  }
  if (!call.m_model.empty()) {
    out["model"] = call.m_model.value();
  }
  if (call.m_pause.count() != 0) {
    out["pause_us"] = call.m_pause.count();
  }
  if (!call.m_repeatable) {
    out["repeatable"] = false;
  }
  if (call.m_last) {
    out["last"] = true;
  }
  if (call.m_crashes) {
    out["crashes"] = true;
  }
  if (call.m_outcome != OutcomeKind::kDone) {
    out["outcome"] = ToString(call.m_outcome);
  }
  if (call.m_latency.count() != 0) {
    out["latency_us"] = call.m_latency.count();
  }
  return out;
}

auto ToJson(const TraceSlowdown& slowdown) -> Json {
  return {{"kind", "slowdown"},
          {"at_us", slowdown.m_at.count()},
          {"length_us", slowdown.m_length.count()},
          {"endpoint", slowdown.m_endpoint},
          {"factor", slowdown.m_factor}};
}

/// Reads typed values from one line and collects its errors.
class LineReader {
 public:
  explicit LineReader(const Json& json) : m_json(json) {
    m_read.insert("kind");
  }

  auto ReadNumber(const char* key, std::int64_t least, std::int64_t fallback)
      -> std::int64_t {
    const auto* value = Find(key);
    if (value == nullptr) {
      return fallback;
    }
    if (!value->is_number_integer() || value->get<std::int64_t>() < least) {
      Report("'" + std::string(key) + "' must be a whole number of at least " +
             std::to_string(least));
      return fallback;
    }
    return value->get<std::int64_t>();
  }

  auto NeedNumber(const char* key, std::int64_t least) -> std::int64_t {
    Need(key);
    return ReadNumber(key, least, least);
  }

  auto NeedFactor(const char* key) -> double {
    Need(key);
    const auto* value = Find(key);
    if (value == nullptr || !value->is_number() || value->get<double>() <= 0) {
      Report("'" + std::string(key) + "' must be a number above 0");
      return 1;
    }
    return value->get<double>();
  }

  auto ReadText(const char* key) -> std::string {
    const auto* value = Find(key);
    if (value == nullptr) {
      return {};
    }
    if (!value->is_string()) {
      Report("'" + std::string(key) + "' must be text");
      return {};
    }
    return value->get<std::string>();
  }

  auto NeedText(const char* key) -> std::string {
    Need(key);
    auto text = ReadText(key);
    if (m_json.contains(key) && text.empty()) {
      Report("'" + std::string(key) + "' must not be empty");
    }
    return text;
  }

  auto ReadFlag(const char* key, bool fallback) -> bool {
    const auto* value = Find(key);
    if (value == nullptr) {
      return fallback;
    }
    if (!value->is_boolean()) {
      Report("'" + std::string(key) + "' must be true or false");
      return fallback;
    }
    return value->get<bool>();
  }

  auto Report(const std::string& problem) -> void {
    m_problems += (m_problems.empty() ? "" : "; ") + problem;
  }

  /// All errors of the line, including keys that were not read.
  auto Problems() -> std::string {
    for (const auto& [key, value] : m_json.items()) {
      if (!m_read.contains(key)) {
        Report("unknown key '" + key + "'");
      }
    }
    return m_problems;
  }

 private:
  auto Find(const char* key) -> const Json* {
    m_read.insert(key);
    const auto found = m_json.find(key);
    return found == m_json.end() ? nullptr : &*found;
  }

  auto Need(const char* key) -> void {
    if (!m_json.contains(key)) {
      Report("'" + std::string(key) + "' is missing");
    }
  }

  const Json& m_json;
  std::set<std::string> m_read;
  std::string m_problems;
};

auto ReadHeader(LineReader& in) -> TraceHeader {
  TraceHeader header;
  header.m_version = static_cast<int>(in.NeedNumber("version", 1));
  if (header.m_version != kTraceVersion) {
    in.Report("version " + std::to_string(header.m_version) +
              " is not supported; this reader knows " +
              std::to_string(kTraceVersion));
  }
  header.m_name = in.NeedText("name");
  header.m_endpoints = static_cast<int>(in.NeedNumber("endpoints", 1));
  header.m_engine_slots =
      static_cast<int>(in.ReadNumber("engine_slots", 1, 16));
  header.m_kv_capacity = Tokens(in.ReadNumber("kv_capacity", 1, 262144));
  header.m_crest_begin = Duration(in.ReadNumber("crest_begin_us", 0, 0));
  header.m_crest_end = Duration(in.ReadNumber("crest_end_us", 0, 0));
  return header;
}

auto ReadClass(LineReader& in) -> TraceClass {
  return {.m_id = ClassId(in.NeedText("id")),
          .m_weight = static_cast<int>(in.NeedNumber("weight", 1)),
          .m_deadline = Duration(in.NeedNumber("deadline_us", 1))};
}

auto ReadOutcome(LineReader& in) -> OutcomeKind {
  const auto text = in.ReadText("outcome");
  for (const auto kind : {OutcomeKind::kDone, OutcomeKind::kFailed,
                          OutcomeKind::kNotRun, OutcomeKind::kUnknown}) {
    if (text == ToString(kind)) {
      return kind;
    }
  }
  if (!text.empty()) {
    in.Report("'outcome' must be done, failed, not_run or unknown");
  }
  return OutcomeKind::kDone;
}

auto ReadCall(LineReader& in) -> TraceCall {
  TraceCall call;
  call.m_at = Duration(in.NeedNumber("at_us", 0));
  call.m_program = ProgramId(in.NeedText("program"));
  const auto parent = in.ReadText("parent");
  if (!parent.empty()) {
    call.m_parent = ProgramId(parent);
    call.m_parent_turn = Turn(in.NeedNumber("parent_turn", 1));
  }
  call.m_turn = Turn(in.NeedNumber("turn", 1));
  call.m_class = ClassId(in.NeedText("class"));
  call.m_service = ServiceId(in.ReadText("service"));
  call.m_model = ModelId(in.ReadText("model"));
  call.m_prompt = Tokens(in.NeedNumber("prompt", 0));
  call.m_generated = Tokens(in.NeedNumber("generated", 0));
  call.m_max_generated = Tokens(in.ReadNumber("max_generated", 0, 4096));
  call.m_pause = Duration(in.ReadNumber("pause_us", 0, 0));
  call.m_repeatable = in.ReadFlag("repeatable", true);
  call.m_last = in.ReadFlag("last", false);
  call.m_crashes = in.ReadFlag("crashes", false);
  call.m_outcome = ReadOutcome(in);
  call.m_latency = Duration(in.ReadNumber("latency_us", 0, 0));
  return call;
}

auto ReadSlowdown(LineReader& in) -> TraceSlowdown {
  return {.m_at = Duration(in.NeedNumber("at_us", 0)),
          .m_length = Duration(in.NeedNumber("length_us", 1)),
          .m_endpoint = static_cast<int>(in.NeedNumber("endpoint", 0)),
          .m_factor = in.NeedFactor("factor")};
}

auto ReadLine(LineReader& in) -> TraceLine {
  const auto kind = in.NeedText("kind");
  if (kind == "header") {
    return ReadHeader(in);
  }
  if (kind == "class") {
    return ReadClass(in);
  }
  if (kind == "slowdown") {
    return ReadSlowdown(in);
  }
  if (kind != "call") {
    in.Report("'kind' must be header, class, call or slowdown");
  }
  return ReadCall(in);
}

/// Assembles lines into a trace and checks consistency between lines.
class TraceBuilder {
 public:
  auto Add(TraceLine line) -> std::string {
    if (auto* header = std::get_if<TraceHeader>(&line)) {
      const auto second = m_has_header;
      m_trace.m_header = std::move(*header);
      m_has_header = true;
      return second ? "duplicate header" : "";
    }
    if (!m_has_header) {
      return "the header must come first";
    }
    if (auto* entry = std::get_if<TraceClass>(&line)) {
      m_trace.m_classes.push_back(std::move(*entry));
      return "";
    }
    if (const auto* slowdown = std::get_if<TraceSlowdown>(&line)) {
      m_trace.m_slowdowns.push_back(*slowdown);
      return slowdown->m_endpoint < m_trace.m_header.m_endpoints
                 ? ""
                 : "'endpoint' is not below the header's number of endpoints";
    }
    return AddCall(std::get<TraceCall>(std::move(line)));
  }

  auto has_header() const -> bool { return m_has_header; }
  auto trace() -> Trace& { return m_trace; }

 private:
  auto AddCall(TraceCall call) -> std::string {
    auto& last = m_turns[call.m_program];
    const auto expected = last.Next();
    if (call.m_turn != expected) {
      return "program " + call.m_program.value() + " has turn " +
             std::to_string(call.m_turn.value()) + " where turn " +
             std::to_string(expected.value()) + " was expected";
    }
    last = call.m_turn;
    if (call.m_parent && !m_turns.contains(*call.m_parent)) {
      return "parent " + call.m_parent->value() + " has no earlier call";
    }
    m_trace.m_calls.push_back(std::move(call));
    return "";
  }

  Trace m_trace;
  bool m_has_header = false;
  std::map<ProgramId, Turn> m_turns;
};

auto PlaceOf(const std::string& file, int number) -> std::string {
  return file + ":" + std::to_string(number);
}

}  // namespace

auto FormatTraceLine(const TraceLine& line) -> std::string {
  const auto json = std::visit([](const auto& it) { return ToJson(it); }, line);
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto ParseTraceLine(std::string_view text, const std::string& file, int number)
    -> Result<TraceLine> {
  const auto json = Json::parse(text, nullptr, false);
  if (json.is_discarded() || !json.is_object()) {
    return Fail(ErrorCode::kInvalidArgument, "the line is not a JSON object",
                PlaceOf(file, number));
  }
  LineReader in(json);
  auto line = ReadLine(in);
  const auto problems = in.Problems();
  if (!problems.empty()) {
    return Fail(ErrorCode::kInvalidArgument, problems, PlaceOf(file, number));
  }
  return line;
}

auto ParseTrace(std::string_view text, const std::string& file)
    -> Result<Trace> {
  TraceBuilder builder;
  auto number = 0;
  while (!text.empty()) {
    const auto line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(line.size() + 1, text.size()));
    ++number;
    if (line.empty() || line.front() == '#') {
      continue;
    }
    auto parsed = ParseTraceLine(line, file, number);
    if (!parsed) {
      return tl::unexpected<Error>(parsed.error());
    }
    const auto problem = builder.Add(std::move(*parsed));
    if (!problem.empty()) {
      return Fail(ErrorCode::kInvalidArgument, problem, PlaceOf(file, number));
    }
  }
  if (!builder.has_header()) {
    return Fail(ErrorCode::kInvalidArgument, "the trace has no header", file);
  }
  return std::move(builder.trace());
}

auto FormatTrace(const Trace& trace) -> std::string {
  auto out = FormatTraceLine(trace.m_header) + "\n";
  for (const auto& entry : trace.m_classes) {
    out += FormatTraceLine(entry) + "\n";
  }
  for (const auto& slowdown : trace.m_slowdowns) {
    out += FormatTraceLine(slowdown) + "\n";
  }
  for (const auto& call : trace.m_calls) {
    out += FormatTraceLine(call) + "\n";
  }
  return out;
}

}  // namespace dotterelshed
