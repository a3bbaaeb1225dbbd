// Command generator generates Go code from a protobuf schema: it compiles the schema and
// passes it to the given protoc plugins. It replaces protoc, so that only the Go toolchain
// is required.
//
//	generator FOLDER SCHEMA PLUGIN...
//
// SCHEMA is the name of a file in FOLDER, which also gets the generated files.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/pluginpb"
)

const minArguments = 4 // including the program name

var errPlugin = errors.New("plugin failed")

func main() {
	if len(os.Args) < minArguments {
		fmt.Fprintln(os.Stderr, "usage: generator FOLDER SCHEMA PLUGIN...")
		os.Exit(2)
	}
	for _, plugin := range os.Args[3:] {
		err := generate(os.Args[1], os.Args[2], plugin)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

// generate runs one plugin on a schema and writes the files that it returns.
func generate(folder, schema, plugin string) error {
	request, err := compile(folder, schema)
	if err != nil {
		return fmt.Errorf("compile %s: %w", schema, err)
	}
	response, err := run(plugin, request)
	if err != nil {
		return fmt.Errorf("run %s: %w", plugin, err)
	}
	for _, f := range response.GetFile() {
		path := filepath.Join(folder, f.GetName())
		err = os.WriteFile(path, []byte(f.GetContent()), 0o600)
		if err != nil {
			return fmt.Errorf("write %s: %w", path, err)
		}
	}
	return nil
}

// compile returns the request to a plugin: the descriptors of a schema.
func compile(folder, schema string) (*pluginpb.CodeGeneratorRequest, error) {
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{folder}},
		SourceInfoMode: protocompile.SourceInfoStandard, // keeps the comments in the generated code
	}
	files, err := compiler.Compile(context.Background(), schema)
	if err != nil {
		return nil, err
	}
	request := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{schema},
		Parameter:      proto.String("paths=source_relative"),
	}
	for _, f := range files {
		request.ProtoFile = append(request.ProtoFile, protoutil.ProtoFromFileDescriptor(f))
	}
	return request, nil
}

// run sends a request to a plugin on standard input and returns its response.
func run(plugin string, request *pluginpb.CodeGeneratorRequest) (*pluginpb.CodeGeneratorResponse, error) {
	in, err := proto.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	cmd := exec.Command(plugin)
	cmd.Stdin = bytes.NewReader(in)
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return nil, err
	}
	response := &pluginpb.CodeGeneratorResponse{}
	err = proto.Unmarshal(out, response)
	if err != nil {
		return nil, fmt.Errorf("decode response: %w", err)
	}
	if response.GetError() != "" {
		return nil, fmt.Errorf("%w: %s", errPlugin, response.GetError())
	}
	return response, nil
}
