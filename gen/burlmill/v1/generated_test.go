package burlmillv1

import (
	"testing"

	"github.com/bufbuild/protocompile"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// schemaFolder holds the sources that the code of this package is generated from.
const schemaFolder = "../../../proto"

// TestGeneratedCodeIsInStep compiles each schema and compares it with the one that
// the generated code carries, so that no generator is needed to notice a change.
func TestGeneratedCodeIsInStep(t *testing.T) {
	compiler := protocompile.Compiler{
		Resolver: protocompile.WithStandardImports(&protocompile.SourceResolver{ImportPaths: []string{schemaFolder}}),
	}
	for _, generated := range []protoreflect.FileDescriptor{
		File_burlmill_v1_coordination_proto,
		File_burlmill_v1_handshake_proto,
		File_burlmill_v1_operator_proto,
		File_burlmill_v1_placement_proto,
		File_burlmill_v1_route_proto,
		File_burlmill_v1_stream_proto,
	} {
		t.Run(generated.Path(), func(t *testing.T) {
			is := is.New(t)
			files, err := compiler.Compile(t.Context(), generated.Path())
			is.NoErr(err)
			is.True(proto.Equal(protodesc.ToFileDescriptorProto(files[0]), protodesc.ToFileDescriptorProto(generated))) // run buf generate
		})
	}
}
