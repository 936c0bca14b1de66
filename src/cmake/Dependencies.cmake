# Libraries from Debian's packages. spdlog and cpp-httplib are compiled
# libraries there, so their flags must come from pkg-config.
find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS program_options)
pkg_check_modules(spdlog_dep REQUIRED IMPORTED_TARGET GLOBAL spdlog)
pkg_check_modules(sqlite_dep REQUIRED IMPORTED_TARGET GLOBAL sqlite3)
if(DOTTERELSHED_ENTRY_ONLY)
  return()
endif()
find_package(OpenSSL REQUIRED)
pkg_check_modules(httplib_dep REQUIRED IMPORTED_TARGET GLOBAL cpp-httplib)
pkg_check_modules(capnp_dep REQUIRED IMPORTED_TARGET GLOBAL capnp-rpc)
