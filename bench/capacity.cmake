# Programs that measure the slopes of docs/CAPACITY.md; bench/run-capacity runs
# them all.
add_library(dotterelshed_capacity STATIC capacity_desk.cc capacity_report.cc)
target_include_directories(dotterelshed_capacity PUBLIC
  ${CMAKE_CURRENT_SOURCE_DIR})
target_link_libraries(dotterelshed_capacity PUBLIC
  dotterelshed_core dotterelshed_peer dotterelshed_platform)
target_compile_definitions(dotterelshed_capacity PUBLIC
  DOTTERELSHED_CHARTS_DIR="${PROJECT_SOURCE_DIR}/src/charts")

foreach(part turns control config lanes takeover streams peer)
  add_executable(capacity_${part} capacity_${part}.cc)
  target_link_libraries(capacity_${part} PRIVATE dotterelshed_capacity)
endforeach()
