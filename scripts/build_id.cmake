# Prints the identity of the sources in SOURCE, "COMMIT-DIGEST", or writes a source
# file that defines it to OUTPUT. COMMIT is "unknown" without a git checkout; DIGEST
# covers what the programs on entry VMs are built from, whether it is committed or not.
#   cmake -DSOURCE=DIR [-DOUTPUT=FILE] -P scripts/build_id.cmake
get_filename_component(SOURCE "${SOURCE}" ABSOLUTE)
execute_process(
  COMMAND git -C "${SOURCE}" rev-parse --short=12 HEAD
  OUTPUT_VARIABLE commit OUTPUT_STRIP_TRAILING_WHITESPACE
  RESULT_VARIABLE failed ERROR_QUIET)
if(failed)
  set(commit unknown)
endif()

set(files)
foreach(folder chervilpass platform programs/router)
  file(GLOB_RECURSE found RELATIVE "${SOURCE}" "${SOURCE}/${folder}/*.cc" "${SOURCE}/${folder}/*.h")
  list(APPEND files ${found})
endforeach()
list(SORT files)
set(digests)
foreach(path ${files})
  file(SHA256 "${SOURCE}/${path}" digest)
  string(APPEND digests "${digest} ${path}\n")
endforeach()
string(SHA256 digest "${digests}")
string(SUBSTRING "${digest}" 0 12 digest)

set(id "${commit}-${digest}")
if(NOT OUTPUT)
  execute_process(COMMAND "${CMAKE_COMMAND}" -E echo "${id}")
  return()
endif()
set(text "#include \"chervilpass/core/build_id.h\"

namespace chervilpass {

std::string_view BuildId() {
  return \"${id}\";
}

}  // namespace chervilpass
")
set(present "")
if(EXISTS "${OUTPUT}")
  file(READ "${OUTPUT}" present)
endif()
if(NOT present STREQUAL text)
  file(WRITE "${OUTPUT}" "${text}")
endif()
